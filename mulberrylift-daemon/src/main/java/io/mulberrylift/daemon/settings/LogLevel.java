package io.mulberrylift.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Lowest severity that is logged.
 */
public enum LogLevel {

	/** Details for troubleshooting. */
	@JsonProperty("debug")
	DEBUG,

	/** State changes. */
	@JsonProperty("info")
	INFO,

	/** Problems. */
	@JsonProperty("warn")
	WARN

}
