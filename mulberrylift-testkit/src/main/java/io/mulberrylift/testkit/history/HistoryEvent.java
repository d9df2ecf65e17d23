package io.mulberrylift.testkit.history;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.mulberrylift.core.model.WorkKind;

/**
 * One line of a history: an event observed by a caller, an endpoint, the platform or an
 * instance.
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
	 * Returns the time of the event.
	 * @return milliseconds since the epoch
	 */
	long atEpochMillis();

	/**
	 * A caller sent a request.
	 *
	 * @param atEpochMillis time of the event, in milliseconds since the epoch
	 * @param sendId identity of this send, unique in the history
	 * @param kind whether the target is a model or a service
	 * @param target name of the model or service
	 * @param fingerprint hash of the prompt or body
	 * @param maxOutputTokens maximum length of the answer in tokens, 0 for services
	 * @param key idempotency key, empty if there is none
	 * @param idempotent whether the request may be executed more than once per key
	 * @param deadlineEpochMillis deadline of the request, in milliseconds since the epoch
	 */
	record Invoke(long atEpochMillis, String sendId, WorkKind kind, String target, long fingerprint,
			int maxOutputTokens, String key, boolean idempotent, long deadlineEpochMillis) implements HistoryEvent {
	}

	/**
	 * A caller received the end of an answer.
	 *
	 * @param atEpochMillis when the last byte was received, in milliseconds since the
	 * epoch
	 * @param sendId identity of the answered send
	 * @param result the outcome
	 * @param textHash hash of the text of a complete answer, see
	 * {@link io.mulberrylift.testkit.engine.AnswerText#promptHash}; 0 for other results
	 */
	record Answer(long atEpochMillis, String sendId, AnswerResult result, long textHash) implements HistoryEvent {
	}

	/**
	 * The process of an endpoint started, without work and without holds.
	 *
	 * @param atEpochMillis time of the event, in milliseconds since the epoch
	 * @param endpoint the endpoint
	 * @param incarnation incarnation of the process
	 */
	record Started(long atEpochMillis, String endpoint, long incarnation) implements HistoryEvent {
	}

	/**
	 * An endpoint accepted work.
	 *
	 * @param atEpochMillis time of the event, in milliseconds since the epoch
	 * @param endpoint the endpoint
	 * @param executionId identity of the execution, unique at the endpoint
	 */
	record NewWork(long atEpochMillis, String endpoint, String executionId) implements HistoryEvent {
	}

	/**
	 * An endpoint started to execute a request.
	 *
	 * @param atEpochMillis time of the event, in milliseconds since the epoch
	 * @param endpoint the endpoint
	 * @param executionId identity of the execution, unique at the endpoint
	 * @param fingerprint hash of the prompt or body
	 * @param key idempotency key as received by the endpoint, empty if none was sent
	 */
	record Run(long atEpochMillis, String endpoint, String executionId, long fingerprint,
			String key) implements HistoryEvent {
	}

	/**
	 * An endpoint stopped executing a request.
	 *
	 * @param atEpochMillis time of the event, in milliseconds since the epoch
	 * @param endpoint the endpoint
	 * @param executionId identity of the execution, unique at the endpoint
	 * @param complete whether the execution completed
	 */
	record RunEnd(long atEpochMillis, String endpoint, String executionId, boolean complete) implements HistoryEvent {
	}

	/**
	 * An engine granted a hold.
	 *
	 * @param atEpochMillis time of the event, in milliseconds since the epoch
	 * @param endpoint the engine
	 * @param owner the instance that acquired the hold
	 * @param ownerIncarnation incarnation of the owner
	 * @param holdId identity of the hold, unique in the owner's incarnation
	 * @param tokens reserved memory in tokens
	 */
	record Hold(long atEpochMillis, String endpoint, String owner, long ownerIncarnation, long holdId,
			long tokens) implements HistoryEvent {
	}

	/**
	 * An engine released a hold.
	 *
	 * @param atEpochMillis time of the event, in milliseconds since the epoch
	 * @param endpoint the engine
	 * @param owner the instance that acquired the hold
	 * @param ownerIncarnation incarnation of the owner
	 * @param holdId identity of the hold, unique in the owner's incarnation
	 * @param expired whether the hold expired instead of being released by its owner
	 */
	record Release(long atEpochMillis, String endpoint, String owner, long ownerIncarnation, long holdId,
			boolean expired) implements HistoryEvent {
	}

	/**
	 * The platform set or cleared the leaving mark of an endpoint.
	 *
	 * @param atEpochMillis time of the event, in milliseconds since the epoch
	 * @param endpoint the endpoint
	 * @param leaving whether the endpoint is marked as leaving
	 */
	record Leaving(long atEpochMillis, String endpoint, boolean leaving) implements HistoryEvent {
	}

	/**
	 * An instance reported the configuration version in force.
	 *
	 * @param atEpochMillis time of the event, in milliseconds since the epoch
	 * @param instance the instance
	 * @param version the configuration version
	 */
	record InForce(long atEpochMillis, String instance, long version) implements HistoryEvent {
	}

}
