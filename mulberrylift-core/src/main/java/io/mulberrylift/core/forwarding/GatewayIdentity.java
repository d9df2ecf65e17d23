package io.mulberrylift.core.forwarding;

import java.util.Objects;

/**
 * Who this instance is and which bounds it keeps.
 *
 * @param name name of the instance
 * @param zone its availability zone
 * @param retryBounds bounds of repeats in the whole fleet
 * @param drainGraceMillis how long after a request to end new work is still taken
 * @param memoryHoldMillis how long engine memory is set aside without renewal; below the
 * time in which it must come back
 */
public record GatewayIdentity(String name, String zone, RetryBounds retryBounds, long drainGraceMillis,
		long memoryHoldMillis) {

	/**
	 * Creates the identity.
	 */
	public GatewayIdentity {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(retryBounds, "retryBounds");
	}

}
