package io.mulberrylift.testkit.service;

import java.util.Objects;

/**
 * Options of a stand-in service.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param id endpoint id of the service in histories
 * @param port the port, 0 to choose a free port
 * @param latencyMillis duration of a call in milliseconds
 * @param reportLagMillis maximum age of a load report in milliseconds
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
			throw new IllegalArgumentException("latencyMillis and reportLagMillis must not be negative");
		}
	}

	/**
	 * Returns options for tests: a free port, no latency and no report lag.
	 * @param id the endpoint id
	 * @return the options
	 */
	public static ServiceOptions of(String id) {
		return new ServiceOptions(id, 0, 0, 0);
	}

}
