package io.mulberrylift.daemon.instance;

import java.io.IOException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.Optional;

import io.mulberrylift.daemon.peer.PeerTlsSettings;
import io.mulberrylift.daemon.settings.MutualTlsSettings;
import io.netty.handler.ssl.SslContext;

/**
 * TLS contexts for connections between instances. Immutable; both are present or both are
 * empty.
 *
 * @param server context of incoming connections, empty for plain TCP
 * @param client context of outgoing connections, empty for plain TCP
 */
record PeerTlsContexts(Optional<SslContext> server, Optional<SslContext> client) {

	/**
	 * Creates the contexts from the settings.
	 * @param settings the settings, empty for plain TCP
	 * @return the contexts
	 * @throws IOException if a file cannot be read
	 * @throws GeneralSecurityException if a file's content cannot be used
	 */
	static PeerTlsContexts of(Optional<MutualTlsSettings> settings) throws IOException, GeneralSecurityException {
		if (settings.isEmpty()) {
			return new PeerTlsContexts(Optional.empty(), Optional.empty());
		}
		MutualTlsSettings tls = settings.get();
		PeerTlsSettings files = new PeerTlsSettings(Path.of(tls.keyStorePath()), tls.keyStorePassword(),
				Path.of(tls.trustStorePath()), tls.trustStorePassword());
		return new PeerTlsContexts(Optional.of(files.serverContext()), Optional.of(files.clientContext()));
	}

}
