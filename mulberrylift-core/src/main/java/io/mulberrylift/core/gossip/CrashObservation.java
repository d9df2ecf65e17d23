package io.mulberrylift.core.gossip;

import java.util.Objects;
import java.util.Optional;

/**
 * The loss of an endpoint while it ran a request, or a complete answer to a request that
 * was suspected of such losses.
 *
 * @param fingerprint fingerprint of the request
 * @param lostEndpointHash hash of the lost endpoint's identity; empty if the request was
 * answered
 * @param ageMillis time since the observation
 */
public record CrashObservation(long fingerprint, Optional<Integer> lostEndpointHash, long ageMillis) {

	/**
	 * Creates the observation.
	 * @throws IllegalArgumentException if the age is negative
	 */
	public CrashObservation {
		Objects.requireNonNull(lostEndpointHash, "lostEndpointHash");
		if (ageMillis < 0) {
			throw new IllegalArgumentException("ageMillis must not be negative");
		}
	}

}
