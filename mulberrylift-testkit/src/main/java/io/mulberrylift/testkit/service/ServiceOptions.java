package io.mulberrylift.testkit.service;

import java.util.Objects;

/**
 * How a stand-in service is run.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param id endpoint id by which histories name the service
 * @param port the port, 0 for a free one
 * @param latencyMillis how long a call executes, in milliseconds
 * @param reportLagMillis greatest age of a load report in milliseconds
 */
public record ServiceOptions(String id, int port, long latencyMillis, long reportLagMillis) {

	/**
	 * Creates the options.
	 * @throws NullPointerException if the id is null
	 * @throws IllegalArgumentException if a duration is negative
	 */
	public ServiceOptions {
		Objects.requireNonNull(id, "id");
		if (latencyMillis < 0 || reportLagMillis < 0) {
			throw new IllegalArgumentException("The latency and the lag must not be negative");
		}
	}

	/**
	 * Returns options for tests: a free port, no latency, no lag.
	 * @param id endpoint id
	 * @return the options
	 */
	public static ServiceOptions of(String id) {
		return new ServiceOptions(id, 0, 0, 0);
	}

}
