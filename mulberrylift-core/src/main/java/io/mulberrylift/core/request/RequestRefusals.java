package io.mulberrylift.core.request;

import java.util.OptionalLong;

import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.model.AttemptFailure;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.core.model.RequestSpec;

/**
 * Builds the refusals of requests that end without a complete answer.
 */
final class RequestRefusals {

	private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

	private RequestRefusals() {
	}

	/**
	 * Refuses a request that was not added to the request table.
	 * @param spec the request
	 * @param reason the reason
	 * @param detail what exactly is wrong
	 * @return the refusal, with the outcome {@link Outcome#UNKNOWN} if an earlier send
	 * with the same key may exist
	 */
	static Refusal onArrival(RequestSpec spec, RefusalReason reason, String detail) {
		boolean earlierSendPossible = !spec.repeatable() && spec.key().isPresent();
		Outcome outcome = earlierSendPossible ? Outcome.UNKNOWN : Outcome.NOT_RUN;
		return Refusal.retryable(outcome, reason, detail, DEFAULT_RETRY_AFTER_MILLIS);
	}

	static Refusal inProgress(RequestEntry entry, RefusalReason reason, String detail) {
		Outcome outcome = (entry.phase == RequestPhase.RUNNING) ? Outcome.UNKNOWN : entry.outcomeWithoutAttempt();
		return Refusal.retryable(outcome, reason, detail, DEFAULT_RETRY_AFTER_MILLIS);
	}

	static Refusal expired(RequestEntry entry) {
		boolean mayHaveRun = entry.mayHaveRun || entry.phase == RequestPhase.RUNNING;
		Outcome outcome = mayHaveRun ? Outcome.EXPIRED : entry.outcomeWithoutAttempt();
		return Refusal.retryable(outcome, RefusalReason.DEADLINE_PASSED,
				"The deadline of " + entry.spec.timeoutMillis() + " ms has passed", DEFAULT_RETRY_AFTER_MILLIS);
	}

	static Refusal quarantined(RequestEntry entry) {
		Outcome outcome = entry.needsClaim() ? entry.outcomeWithoutAttempt() : Outcome.FAILED;
		return Refusal.of(outcome, RefusalReason.CRASHES_ENDPOINTS,
				"The request is quarantined: two endpoints were lost while they ran it");
	}

	static Refusal withOutcome(Refusal refusal, RequestEntry entry) {
		return new Refusal(entry.outcomeWithoutAttempt(), refusal.reason(), refusal.detail(),
				refusal.retryAfterMillis());
	}

	static Refusal afterFailure(RequestEntry entry, AttemptEvent.Failed event) {
		boolean callerMayRetry = event.failure().retryable() && (entry.spec.repeatable() || !entry.mayHaveRun);
		OptionalLong retryAfterMillis = callerMayRetry
				? OptionalLong.of(event.retryAfterMillis().orElse(DEFAULT_RETRY_AFTER_MILLIS)) : OptionalLong.empty();
		return new Refusal(outcome(entry, event.failure()), reason(event.failure()), event.detail(), retryAfterMillis);
	}

	private static Outcome outcome(RequestEntry entry, AttemptFailure failure) {
		if (!entry.mayHaveRun) {
			return entry.outcomeWithoutAttempt();
		}
		boolean runIsCertain = entry.deliveredTokens > 0 || failure == AttemptFailure.TRUNCATED
				|| failure == AttemptFailure.ENDPOINT_ERROR;
		return (runIsCertain || entry.spec.repeatable()) ? Outcome.FAILED : Outcome.UNKNOWN;
	}

	private static RefusalReason reason(AttemptFailure failure) {
		return switch (failure) {
			case NOT_SENT, DRAINING -> RefusalReason.NO_ENDPOINT;
			case TURNED_AWAY -> RefusalReason.OVERLOADED;
			case REJECTED -> RefusalReason.ENDPOINT_REJECTED;
			case CONNECTION_LOST, RESPONSE_TIMEOUT -> RefusalReason.ENDPOINT_LOST;
			case TRUNCATED, ENDPOINT_ERROR -> RefusalReason.ANSWER_TRUNCATED;
		};
	}

}
