package io.mulberrylift.core.gossip;

/**
 * The loss of an endpoint while it ran a request.
 *
 * @param fingerprint fingerprint of the request
 * @param endpointHash hash of the endpoint's identity
 * @param ageMillis time since the loss was observed
 */
public record CrashObservation(long fingerprint, int endpointHash, long ageMillis) {

	/**
	 * Creates the observation.
	 * @throws IllegalArgumentException if the age is negative
	 */
	public CrashObservation {
		if (ageMillis < 0) {
			throw new IllegalArgumentException("ageMillis must not be negative");
		}
	}

}
