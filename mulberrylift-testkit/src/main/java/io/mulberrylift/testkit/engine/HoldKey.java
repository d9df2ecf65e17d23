package io.mulberrylift.testkit.engine;

import java.util.Objects;

/**
 * Identifies a hold across all owners.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param owner id of the instance that created the hold
 * @param ownerIncarnation incarnation of the owner
 * @param holdId id of the hold, unique within the owner's incarnation
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
