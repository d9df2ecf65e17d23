package io.mulberrylift.core.forwarding;

import java.util.Objects;

/**
 * Who this instance is and which bounds it keeps.
 *
 * @param name name of the instance
 * @param zone its availability zone
 * @param retryBounds bounds of repeats in the whole fleet
 * @param drainGraceMillis how long after a request to end new work is still taken
 * @param memoryFreeMillis time in which engine memory that was set aside must come back
 */
public record GatewayIdentity(String name, String zone, RetryBounds retryBounds, long drainGraceMillis,
		long memoryFreeMillis) {

	/**
	 * Creates the identity.
	 */
	public GatewayIdentity {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(retryBounds, "retryBounds");
	}

}
