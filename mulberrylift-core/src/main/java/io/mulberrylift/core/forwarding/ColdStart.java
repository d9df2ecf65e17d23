package io.mulberrylift.core.forwarding;

/**
 * What the endpoints of a service accept while they are cold. Immutable.
 *
 * @param durationMillis time for which an endpoint is cold after a start
 * @param requestsPerSecond requests per second that a cold endpoint accepts from all
 * instances together
 */
public record ColdStart(long durationMillis, double requestsPerSecond) {

	/**
	 * Creates the terms.
	 * @throws IllegalArgumentException if a number is not positive
	 */
	public ColdStart {
		if (durationMillis <= 0 || !(requestsPerSecond > 0)) {
			throw new IllegalArgumentException("Cold start must have a positive duration and rate");
		}
	}

}
