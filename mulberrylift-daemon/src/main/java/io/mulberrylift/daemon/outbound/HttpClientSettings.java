package io.mulberrylift.daemon.outbound;

import java.util.Objects;

import io.mulberrylift.core.model.ZoneId;

/**
 * Settings of an outbound HTTP client.
 *
 * @param zone availability zone of this process, sent with each call
 * @param maxConnectionsPerAddress largest number of connections to one address
 * @param connectTimeoutMillis timeout for obtaining a connection, in milliseconds
 * @param windowBytes bytes of one response that are read ahead of its consumer
 * @param ioThreads number of reactor threads
 */
public record HttpClientSettings(ZoneId zone, int maxConnectionsPerAddress, int connectTimeoutMillis, int windowBytes,
		int ioThreads) {

	/** Maximum number of connections to one endpoint for callers' requests. */
	public static final int REQUEST_CONNECTIONS_PER_ADDRESS = 1_024;

	/** Maximum number of connections to one address for short control calls. */
	public static final int CONTROL_CONNECTIONS_PER_ADDRESS = 16;

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final int WINDOW_BYTES = 64 * 1_024;

	private static final int REQUEST_IO_THREADS = 2;

	/**
	 * Creates the settings.
	 * @throws NullPointerException if the zone is null
	 * @throws IllegalArgumentException if a number is not positive
	 */
	public HttpClientSettings {
		Objects.requireNonNull(zone, "zone");
		if (Math.min(Math.min(maxConnectionsPerAddress, connectTimeoutMillis), Math.min(windowBytes, ioThreads)) < 1) {
			throw new IllegalArgumentException(
					"HTTP client settings contain a number less than 1; set each to at least 1");
		}
	}

	/**
	 * Creates settings for a client that sends callers' requests.
	 * @param zone availability zone of this process
	 * @return the settings
	 */
	public static HttpClientSettings forRequests(ZoneId zone) {
		return new HttpClientSettings(zone, REQUEST_CONNECTIONS_PER_ADDRESS, CONNECT_TIMEOUT_MILLIS, WINDOW_BYTES,
				REQUEST_IO_THREADS);
	}

	/**
	 * Creates settings for a client that sends short control calls.
	 * @param zone availability zone of this process
	 * @return the settings
	 */
	public static HttpClientSettings forControl(ZoneId zone) {
		return new HttpClientSettings(zone, CONTROL_CONNECTIONS_PER_ADDRESS, CONNECT_TIMEOUT_MILLIS, WINDOW_BYTES, 1);
	}

}
