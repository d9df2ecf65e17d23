package io.mulberrylift.core.request;

import java.util.OptionalLong;

import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.model.AttemptFailure;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;

/**
 * Chooses the final word for a request whose last attempt failed.
 */
final class RequestRefusals {

	private RequestRefusals() {
	}

	static Refusal afterFailure(RequestEntry entry, AttemptEvent.Failed event, long defaultRetryAfterMillis) {
		boolean comingBackHelps = event.failure().retryHelps() && (entry.spec.repeatable() || !entry.possiblyRan);
		OptionalLong retryAfterMillis = comingBackHelps
				? OptionalLong.of(event.retryAfterMillis().orElse(defaultRetryAfterMillis)) : OptionalLong.empty();
		return new Refusal(outcome(entry, event.failure()), reason(event.failure()), event.detail(), retryAfterMillis);
	}

	private static Outcome outcome(RequestEntry entry, AttemptFailure failure) {
		if (!entry.possiblyRan) {
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
			case CONNECTION_LOST, SILENT -> RefusalReason.ENDPOINT_LOST;
			case TRUNCATED, ENDPOINT_ERROR -> RefusalReason.ANSWER_TRUNCATED;
		};
	}

}
