package io.mulberrylift.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Where the platform is found.
 *
 * <p>
 * Immutable.
 * </p>
 *
 * @param baseUrl address of the configuration service and the instance list
 * @param listPollIntervalMillis time between two reads of the instance list in
 * milliseconds
 */
public record PlatformSettings(@JsonProperty(required = true) String baseUrl, long listPollIntervalMillis) {

	/** Interval when the settings name none, in milliseconds. */
	public static final long DEFAULT_LIST_POLL_INTERVAL_MILLIS = 1_000;

	/**
	 * Creates the settings. An absent interval, 0, takes its default.
	 */
	public PlatformSettings {
		listPollIntervalMillis = (listPollIntervalMillis != 0) ? listPollIntervalMillis
				: DEFAULT_LIST_POLL_INTERVAL_MILLIS;
	}

}
