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
 * Not safe for use by several threads; owned by the reducer. Once an attempt may have
 * run, {@code possiblyRan} stays true for good.
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
	 * Returns whether an earlier send of the same key may exist, so that "not run" cannot
	 * be said without a claim.
	 * @return true if so
	 */
	boolean needsClaim() {
		return !this.spec.repeatable() && this.spec.key().isPresent();
	}

	/**
	 * Returns what may be said of a request that has no attempt under way.
	 * @return the outcome
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
