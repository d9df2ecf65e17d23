package io.mulberrylift.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Format of log lines.
 */
public enum LogFormat {

	/** Plain text, one line per event. */
	@JsonProperty("text")
	TEXT,

	/** One JSON object per line. */
	@JsonProperty("json")
	JSON

}
