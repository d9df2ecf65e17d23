package io.mulberrylift.testkit.engine;

import java.util.Objects;

/**
 * Names a hold across all owners.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param owner the instance that took the hold
 * @param ownerIncarnation incarnation of the owner
 * @param holdId identity within the owner's incarnation
 */
public record HoldKey(String owner, long ownerIncarnation, long holdId) {

	/**
	 * Creates the key.
	 * @throws NullPointerException if the owner is null
	 */
	public HoldKey {
		Objects.requireNonNull(owner, "owner");
	}

}
