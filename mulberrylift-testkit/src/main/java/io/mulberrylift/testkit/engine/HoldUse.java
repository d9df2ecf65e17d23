package io.mulberrylift.testkit.engine;

import java.util.Objects;

/**
 * Holds whose memory a request uses instead of the engine's free memory.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param ownHold key of the hold on the engine that runs the request
 * @param memberCount number of engines in the gang, including the one that runs the
 * request
 * @param otherTokens memory held on the other engines, in tokens
 */
public record HoldUse(HoldKey ownHold, int memberCount, long otherTokens) {

	/**
	 * Creates the record.
	 * @throws NullPointerException if the hold is null
	 * @throws IllegalArgumentException if the member count is not positive or the memory
	 * on the other engines is negative
	 */
	public HoldUse {
		Objects.requireNonNull(ownHold, "ownHold");
		if (memberCount < 1 || otherTokens < 0) {
			throw new IllegalArgumentException("memberCount must be positive and otherTokens must not be negative");
		}
	}

}
