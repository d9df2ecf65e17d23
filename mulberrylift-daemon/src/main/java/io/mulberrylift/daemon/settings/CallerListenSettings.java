package io.mulberrylift.daemon.settings;

import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Where callers are served.
 *
 * <p>
 * Immutable.
 * </p>
 *
 * @param host address to listen on
 * @param port port to listen on, 0 for any free one
 * @param tls encryption, empty for none
 */
public record CallerListenSettings(@JsonProperty(required = true) String host, @JsonProperty(required = true) int port,
		Optional<TlsSettings> tls) {

	/**
	 * Creates the settings. Absent encryption means none.
	 */
	public CallerListenSettings {
		tls = (tls != null) ? tls : Optional.empty();
	}

}
