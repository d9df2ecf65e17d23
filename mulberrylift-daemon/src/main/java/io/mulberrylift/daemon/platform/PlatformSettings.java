package io.mulberrylift.daemon.platform;

import java.util.Objects;

/**
 * Where the platform's services are.
 *
 * @param configurationAddress host and port of the configuration service
 * @param listAddress host and port of the instance list
 * @param timeoutMillis longest silence of a service beyond a wait that was asked for, in
 * milliseconds
 */
public record PlatformSettings(String configurationAddress, String listAddress, long timeoutMillis) {

	/**
	 * Creates the settings.
	 * @throws NullPointerException if an address is null
	 * @throws IllegalArgumentException if the timeout is not positive
	 */
	public PlatformSettings {
		Objects.requireNonNull(configurationAddress, "configurationAddress");
		Objects.requireNonNull(listAddress, "listAddress");
		if (timeoutMillis < 1) {
			throw new IllegalArgumentException("Timeout of the platform must be positive; set at least 1 ms");
		}
	}

}
