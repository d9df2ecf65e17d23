package io.mulberrylift.core.request;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.mulberrylift.core.configuration.ProfileSettings;
import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.scheduling.Assignment;
import io.mulberrylift.core.scheduling.PendingRequest;

/**
 * State of one request in progress.
 *
 * <p>
 * Not thread-safe; owned by the reducer. {@code mayHaveRun} is never reset once an
 * attempt may have run.
 * </p>
 */
final class RequestEntry {

	final RequestSpec spec;

	final ProfileSettings profile;

	final double weight;

	final long arrivedMonotonicMillis;

	final long deadlineMonotonicMillis;

	final Set<EndpointId> excluded = new HashSet<>();

	RequestPhase phase = RequestPhase.QUEUED;

	boolean claimed;

	boolean suspected;

	boolean callerDisconnected;

	boolean mayHaveRun;

	int attemptsMade;

	int deliveredTokens;

	long attemptId;

	long dispatchedMonotonicMillis;

	long firstTokenMillis = -1;

	EndpointId endpoint;

	Assignment assignment;

	List<AttemptEffect.MemberHold> holds = List.of();

	RequestEntry(RequestSpec spec, ProfileSettings profile, double weight, long arrivedMonotonicMillis) {
		this.spec = spec;
		this.profile = profile;
		this.weight = weight;
		this.arrivedMonotonicMillis = arrivedMonotonicMillis;
		this.deadlineMonotonicMillis = arrivedMonotonicMillis + spec.timeoutMillis();
	}

	long requestId() {
		return this.spec.requestId();
	}

	/**
	 * Returns whether an earlier send with the same key may exist, so that the outcome
	 * {@link Outcome#NOT_RUN} cannot be reported without a granted claim.
	 * @return {@code true} for a non-repeatable request with an idempotency key
	 */
	boolean needsClaim() {
		return !this.spec.repeatable() && this.spec.key().isPresent();
	}

	/**
	 * Returns the outcome to report for a request that has no running attempt.
	 * @return {@link Outcome#FAILED} if an earlier attempt may have run,
	 * {@link Outcome#UNKNOWN} if a required claim was not granted,
	 * {@link Outcome#NOT_RUN} otherwise
	 */
	Outcome outcomeWithoutAttempt() {
		if (this.mayHaveRun) {
			return Outcome.FAILED;
		}
		return (needsClaim() && !this.claimed) ? Outcome.UNKNOWN : Outcome.NOT_RUN;
	}

	PendingRequest pending(long notBeforeMonotonicMillis) {
		return new PendingRequest(this.spec, this.profile, this.weight, this.arrivedMonotonicMillis,
				this.deadlineMonotonicMillis, this.attemptsMade, this.deliveredTokens, this.excluded,
				notBeforeMonotonicMillis, this.suspected);
	}

}
