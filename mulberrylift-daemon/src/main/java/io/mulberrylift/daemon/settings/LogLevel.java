package io.mulberrylift.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Least importance of lines that are written.
 */
public enum LogLevel {

	/** Detail for finding faults. */
	@JsonProperty("debug")
	DEBUG,

	/** Changes of state. */
	@JsonProperty("info")
	INFO,

	/** Faults. */
	@JsonProperty("warn")
	WARN

}
