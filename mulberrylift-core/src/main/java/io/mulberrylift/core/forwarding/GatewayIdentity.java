package io.mulberrylift.core.forwarding;

import java.util.Objects;

/**
 * Identity and limits of this instance.
 *
 * @param name name of the instance
 * @param zone availability zone of the instance
 * @param retryBounds bounds of retries in the entire fleet
 * @param drainGraceMillis time after a shutdown request during which new requests are
 * still accepted
 * @param memoryFreeMillis time within which reserved engine memory that is no longer in
 * use must become free
 * @param terms terms of the deployment
 */
public record GatewayIdentity(String name, String zone, RetryBounds retryBounds, long drainGraceMillis,
		long memoryFreeMillis, GatewayTerms terms) {

	/**
	 * Creates the identity.
	 */
	public GatewayIdentity {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(retryBounds, "retryBounds");
		Objects.requireNonNull(terms, "terms");
	}

	/**
	 * Creates the identity of an instance of a deployment whose terms switch nothing on.
	 * @param name name of the instance
	 * @param zone availability zone of the instance
	 * @param retryBounds bounds of retries in the entire fleet
	 * @param drainGraceMillis time after a shutdown request during which new requests are
	 * still accepted
	 * @param memoryFreeMillis time within which reserved engine memory must become free
	 */
	public GatewayIdentity(String name, String zone, RetryBounds retryBounds, long drainGraceMillis,
			long memoryFreeMillis) {
		this(name, zone, retryBounds, drainGraceMillis, memoryFreeMillis, GatewayTerms.NONE);
	}

}
