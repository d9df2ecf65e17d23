package io.mulberrylift.daemon.settings;

import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Where other instances are served.
 *
 * <p>
 * Immutable.
 * </p>
 *
 * @param host address to listen on
 * @param port port to listen on, 0 for any free one
 * @param tls encryption in both directions, empty for none
 */
public record PeerListenSettings(@JsonProperty(required = true) String host, @JsonProperty(required = true) int port,
		Optional<MutualTlsSettings> tls) {

	/**
	 * Creates the settings. Absent encryption means none.
	 */
	public PeerListenSettings {
		tls = (tls != null) ? tls : Optional.empty();
	}

}
