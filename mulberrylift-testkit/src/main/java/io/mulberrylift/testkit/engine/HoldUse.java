package io.mulberrylift.testkit.engine;

import java.util.Objects;

/**
 * Memory that a request takes from holds instead of the engine's free memory.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param ownHold the hold on the engine that runs the request
 * @param memberCount number of engines that lend memory, the running one included
 * @param otherTokens memory held on the other engines, in tokens
 */
public record HoldUse(HoldKey ownHold, int memberCount, long otherTokens) {

	/**
	 * Creates the use.
	 * @throws NullPointerException if the hold is null
	 * @throws IllegalArgumentException if there is no member or the other memory is
	 * negative
	 */
	public HoldUse {
		Objects.requireNonNull(ownHold, "ownHold");
		if (memberCount < 1 || otherTokens < 0) {
			throw new IllegalArgumentException("A use of holds needs at least one member and no negative memory");
		}
	}

}
