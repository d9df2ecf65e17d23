package io.mulberrylift.core.model;

import java.util.Objects;

/**
 * A reservation of engine memory as the engine lists it.
 *
 * @param holdId identity of the hold, unique within its owner's incarnation
 * @param owner the instance that took the hold
 * @param ownerIncarnation incarnation of the owner when it took the hold
 * @param tokens reserved KV memory in tokens
 * @param expiresInMillis time until the engine may drop the hold, in milliseconds
 */
public record HoldDescription(long holdId, InstanceId owner, long ownerIncarnation, long tokens, long expiresInMillis) {

	/**
	 * Creates the description.
	 * @throws NullPointerException if the owner is null
	 */
	public HoldDescription {
		Objects.requireNonNull(owner, "owner");
	}

}
