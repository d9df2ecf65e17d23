package io.mulberrylift.core.witness;

import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.peer.WitnessMessage.KeyId;

/**
 * A request whose key is being claimed.
 *
 * <p>
 * Not thread-safe; owned by the reducer. It either has a round in progress or waits for
 * the next round, which uses a new claim.
 * </p>
 */
final class PendingClaim {

	final RequestSpec spec;

	final KeyId key;

	final long deadlineMonotonicMillis;

	ClaimRound round;

	Refusal lastRefusal;

	int rounds;

	long nextSendMonotonicMillis;

	long nextRoundMonotonicMillis;

	long withoutMajoritySinceMonotonicMillis;

	PendingClaim(RequestSpec spec, KeyId key, long deadlineMonotonicMillis) {
		this.spec = spec;
		this.key = key;
		this.deadlineMonotonicMillis = deadlineMonotonicMillis;
	}

}
