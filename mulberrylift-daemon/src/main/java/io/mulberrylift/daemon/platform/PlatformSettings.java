package io.mulberrylift.daemon.platform;

import java.util.Objects;

/**
 * Addresses and timeout of the platform's services.
 *
 * @param configurationAddress host and port of the configuration service
 * @param listAddress host and port of the instance list
 * @param timeoutMillis response timeout in milliseconds, in addition to the requested
 * wait of a watch
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
			throw new IllegalArgumentException("Platform timeout must be positive; set at least 1 ms");
		}
	}

}
