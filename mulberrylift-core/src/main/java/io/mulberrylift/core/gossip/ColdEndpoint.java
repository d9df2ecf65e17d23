package io.mulberrylift.core.gossip;

/**
 * An endpoint that is known to be cold, as told to peers. Immutable.
 *
 * @param endpointHash hash of the endpoint's identity
 * @param remainingMillis time until it is warm
 */
public record ColdEndpoint(int endpointHash, long remainingMillis) {

	/**
	 * Creates the report.
	 * @throws IllegalArgumentException if the time is negative
	 */
	public ColdEndpoint {
		if (remainingMillis < 0) {
			throw new IllegalArgumentException("remainingMillis must not be negative: " + remainingMillis);
		}
	}

}
