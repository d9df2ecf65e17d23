package io.mulberrylift.core.gossip;

import java.util.Objects;
import java.util.Optional;

/**
 * The loss of an endpoint while it ran a request with an attribute, or a complete answer
 * to a request whose attribute was suspected of such losses.
 *
 * @param attribute attribute of the request
 * @param lostEndpointHash hash of the lost endpoint's identity; empty if the request was
 * answered
 * @param ageMillis time since the observation
 */
public record CrashObservation(RequestAttribute attribute, Optional<Integer> lostEndpointHash, long ageMillis) {

	/**
	 * Creates the observation.
	 * @throws IllegalArgumentException if the age is negative
	 */
	public CrashObservation {
		Objects.requireNonNull(attribute, "attribute");
		Objects.requireNonNull(lostEndpointHash, "lostEndpointHash");
		if (ageMillis < 0) {
			throw new IllegalArgumentException("ageMillis must not be negative");
		}
	}

}
