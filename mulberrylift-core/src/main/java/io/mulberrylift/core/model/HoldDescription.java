package io.mulberrylift.core.model;

import java.util.Objects;

/**
 * A hold, which is a lease of engine memory, as the engine reports it.
 *
 * @param holdId identifier, unique within the incarnation of the owner
 * @param owner the instance that acquired the hold
 * @param ownerIncarnation incarnation of the owner when it acquired the hold
 * @param tokens reserved KV cache in tokens
 * @param expiresInMillis time until the hold expires, in milliseconds
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
