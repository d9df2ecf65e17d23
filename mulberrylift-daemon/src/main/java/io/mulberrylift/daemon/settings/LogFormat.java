package io.mulberrylift.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Forms of log lines.
 */
public enum LogFormat {

	/** One line of text. */
	@JsonProperty("text")
	TEXT,

	/** One JSON object per line. */
	@JsonProperty("json")
	JSON

}
