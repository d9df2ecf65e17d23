package io.mulberrylift.core.witness;

import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.core.peer.WitnessMessage.Decision;

/**
 * Creates the refusals of claims.
 *
 * <p>
 * {@link Outcome#NOT_RUN} is reported only when a majority of the seats holds the key for
 * another request, so that this request can never have held a majority.
 * </p>
 */
final class ClaimRefusals {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private ClaimRefusals() {
	}

	static Refusal outOfWindow(long windowMillis) {
		return Refusal.of(Outcome.UNKNOWN, RefusalReason.KEY_OUT_OF_WINDOW,
				"The first send of the key must lie within the last " + windowMillis + " ms");
	}

	static Refusal reused(ClaimRound round) {
		boolean neverGranted = round.hasMajority(Decision.FINGERPRINT_DIFFERS);
		return Refusal.of(neverGranted ? Outcome.NOT_RUN : Outcome.UNKNOWN, RefusalReason.KEY_REUSED,
				"The key was already used for a request with a different body");
	}

	static Refusal answerLost() {
		return Refusal.of(Outcome.UNKNOWN, RefusalReason.ANSWER_LOST,
				"An earlier send with this key may have run; its answer is not available");
	}

	static Refusal inProgress() {
		return Refusal.retryable(Outcome.UNKNOWN, RefusalReason.KEY_IN_PROGRESS,
				"Another send with this key is still in progress", RETRY_AFTER_MILLIS);
	}

	static Refusal beforeGrantHistory() {
		return Refusal.of(Outcome.UNKNOWN, RefusalReason.KEY_BEFORE_MEMORY,
				"The first send is older than the grant history of the witness seats");
	}

	static Refusal noMajority(ClaimRound round) {
		return Refusal.retryable(Outcome.UNKNOWN, RefusalReason.KEY_UNPROVED, round.count(Decision.GRANTED) + " of "
				+ round.seats().size() + " witness seats granted the key, " + round.majority() + " are required",
				RETRY_AFTER_MILLIS);
	}

}
