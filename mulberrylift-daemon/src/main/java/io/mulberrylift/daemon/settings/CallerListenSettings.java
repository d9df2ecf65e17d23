package io.mulberrylift.daemon.settings;

import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Address and encryption of the port for callers.
 *
 * <p>
 * Immutable.
 * </p>
 *
 * @param host address to listen on
 * @param port port to listen on, 0 for any free port
 * @param tls TLS settings, empty for plain text
 */
public record CallerListenSettings(@JsonProperty(required = true) String host, @JsonProperty(required = true) int port,
		Optional<TlsSettings> tls) {

	/**
	 * Creates the settings. Absent TLS settings mean plain text.
	 */
	public CallerListenSettings {
		tls = (tls != null) ? tls : Optional.empty();
	}

}
