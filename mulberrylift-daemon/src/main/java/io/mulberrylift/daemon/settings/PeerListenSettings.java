package io.mulberrylift.daemon.settings;

import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Address and encryption of the port for other instances.
 *
 * <p>
 * Immutable.
 * </p>
 *
 * @param host address to listen on
 * @param port port to listen on, 0 for any free port
 * @param tls mutual TLS settings for incoming and outgoing connections, empty for plain
 * TCP
 */
public record PeerListenSettings(@JsonProperty(required = true) String host, @JsonProperty(required = true) int port,
		Optional<MutualTlsSettings> tls) {

	/**
	 * Creates the settings. Absent TLS settings mean plain TCP.
	 */
	public PeerListenSettings {
		tls = (tls != null) ? tls : Optional.empty();
	}

}
