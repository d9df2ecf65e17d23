package io.mulberrylift.testkit.history;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.mulberrylift.core.model.WorkKind;

/**
 * One line of a history: what a caller, an endpoint, the platform or an instance saw.
 *
 * <p>
 * All events are immutable and safe for use by several threads. A fingerprint is the hash
 * of a prompt or of a service call's body, see
 * {@link io.mulberrylift.testkit.engine.AnswerText#promptHash}.
 * </p>
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({ @JsonSubTypes.Type(value = HistoryEvent.Invoke.class, name = "invoke"),
		@JsonSubTypes.Type(value = HistoryEvent.Answer.class, name = "answer"),
		@JsonSubTypes.Type(value = HistoryEvent.Started.class, name = "started"),
		@JsonSubTypes.Type(value = HistoryEvent.NewWork.class, name = "new-work"),
		@JsonSubTypes.Type(value = HistoryEvent.Run.class, name = "run"),
		@JsonSubTypes.Type(value = HistoryEvent.RunEnd.class, name = "run-end"),
		@JsonSubTypes.Type(value = HistoryEvent.Hold.class, name = "hold"),
		@JsonSubTypes.Type(value = HistoryEvent.Release.class, name = "release"),
		@JsonSubTypes.Type(value = HistoryEvent.Leaving.class, name = "leaving"),
		@JsonSubTypes.Type(value = HistoryEvent.InForce.class, name = "in-force") })
public sealed interface HistoryEvent {

	/**
	 * Returns when the event happened.
	 * @return time in milliseconds since the epoch
	 */
	long atEpochMillis();

	/**
	 * A caller sent a request.
	 *
	 * @param atEpochMillis when
	 * @param sendId identity of this send, unique in the history
	 * @param kind model or service
	 * @param target name of the model or service
	 * @param fingerprint hash of the prompt or body
	 * @param maxOutputTokens greatest length of the answer, 0 for services
	 * @param key idempotency key, empty for none
	 * @param idempotent false when the request must run at most once per key
	 * @param deadlineEpochMillis when it must be answered
	 */
	record Invoke(long atEpochMillis, String sendId, WorkKind kind, String target, long fingerprint,
			int maxOutputTokens, String key, boolean idempotent, long deadlineEpochMillis) implements HistoryEvent {
	}

	/**
	 * A caller was answered.
	 *
	 * @param atEpochMillis when the last byte arrived
	 * @param sendId the send
	 * @param result how it ended
	 * @param textHash hash of the answer's text, see
	 * {@link io.mulberrylift.testkit.engine.AnswerText#promptHash}; 0 unless whole
	 */
	record Answer(long atEpochMillis, String sendId, AnswerResult result, long textHash) implements HistoryEvent {
	}

	/**
	 * An endpoint's process started, with no work and no holds.
	 *
	 * @param atEpochMillis when
	 * @param endpoint the endpoint
	 * @param incarnation incarnation of the process
	 */
	record Started(long atEpochMillis, String endpoint, long incarnation) implements HistoryEvent {
	}

	/**
	 * An endpoint accepted work.
	 *
	 * @param atEpochMillis when
	 * @param endpoint the endpoint
	 * @param executionId identity of the execution, unique at the endpoint
	 */
	record NewWork(long atEpochMillis, String endpoint, String executionId) implements HistoryEvent {
	}

	/**
	 * An endpoint began to execute a request.
	 *
	 * @param atEpochMillis when
	 * @param endpoint the endpoint
	 * @param executionId identity of the execution, unique at the endpoint
	 * @param fingerprint hash of the prompt or body
	 * @param key idempotency key as the endpoint saw it, empty for none
	 */
	record Run(long atEpochMillis, String endpoint, String executionId, long fingerprint,
			String key) implements HistoryEvent {
	}

	/**
	 * An endpoint stopped executing a request.
	 *
	 * @param atEpochMillis when
	 * @param endpoint the endpoint
	 * @param executionId the execution
	 * @param complete whether it came to its end
	 */
	record RunEnd(long atEpochMillis, String endpoint, String executionId, boolean complete) implements HistoryEvent {
	}

	/**
	 * An engine granted a hold.
	 *
	 * @param atEpochMillis when
	 * @param endpoint the engine
	 * @param owner the instance that took it
	 * @param ownerIncarnation incarnation of the owner
	 * @param holdId identity within the owner's incarnation
	 * @param tokens reserved memory in tokens
	 */
	record Hold(long atEpochMillis, String endpoint, String owner, long ownerIncarnation, long holdId,
			long tokens) implements HistoryEvent {
	}

	/**
	 * An engine freed a hold.
	 *
	 * @param atEpochMillis when
	 * @param endpoint the engine
	 * @param owner the instance that took it
	 * @param ownerIncarnation incarnation of the owner
	 * @param holdId identity within the owner's incarnation
	 * @param expired whether its time ran out
	 */
	record Release(long atEpochMillis, String endpoint, String owner, long ownerIncarnation, long holdId,
			boolean expired) implements HistoryEvent {
	}

	/**
	 * The platform marked an endpoint as leaving, or as staying.
	 *
	 * @param atEpochMillis when
	 * @param endpoint the endpoint
	 * @param leaving whether it leaves
	 */
	record Leaving(long atEpochMillis, String endpoint, boolean leaving) implements HistoryEvent {
	}

	/**
	 * An instance was seen to act by a version of the configuration.
	 *
	 * @param atEpochMillis when
	 * @param instance the instance
	 * @param version the version
	 */
	record InForce(long atEpochMillis, String instance, long version) implements HistoryEvent {
	}

}
