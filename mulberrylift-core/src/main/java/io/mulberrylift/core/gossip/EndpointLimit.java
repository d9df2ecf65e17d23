package io.mulberrylift.core.gossip;

import java.util.Objects;
import java.util.Optional;

/**
 * A limit of requests that an endpoint named or ended, as published to peers.
 *
 * @param endpointHash hash of the endpoint's identity
 * @param requestsPerSecond the limit of all instances together, empty if it ended
 * @param ageMillis time since the request was sent whose answer named or ended the limit
 */
public record EndpointLimit(int endpointHash, Optional<Double> requestsPerSecond, long ageMillis) {

	/** Resolution of limits, which is the same on all instances. */
	public static final int UNITS_PER_REQUEST = 100;

	/** Keeps a limit that is already rounded. */
	private static final double ROUNDING_TOLERANCE = 1e-6;

	/**
	 * Creates the limit.
	 */
	public EndpointLimit {
		Objects.requireNonNull(requestsPerSecond, "requestsPerSecond");
	}

	/**
	 * Rounds a limit down to the resolution of messages between instances.
	 * @param requestsPerSecond the limit
	 * @return the rounded limit
	 */
	public static double rounded(double requestsPerSecond) {
		return Math.floor(requestsPerSecond * UNITS_PER_REQUEST + ROUNDING_TOLERANCE) / UNITS_PER_REQUEST;
	}

}
