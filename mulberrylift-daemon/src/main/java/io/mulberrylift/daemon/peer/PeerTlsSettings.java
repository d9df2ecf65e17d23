package io.mulberrylift.daemon.peer;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Objects;

import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.TrustManagerFactory;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;

/**
 * Key material for mutual authentication between instances.
 *
 * @param keyStore PKCS12 file with this process's key and certificate
 * @param keyStorePassword password of the key store
 * @param trustStore PKCS12 file with the trusted certificates
 * @param trustStorePassword password of the trust store
 */
public record PeerTlsSettings(Path keyStore, String keyStorePassword, Path trustStore, String trustStorePassword) {

	private static final String STORE_TYPE = "PKCS12";

	/**
	 * Creates the settings.
	 * @throws NullPointerException if a reference is null
	 */
	public PeerTlsSettings {
		Objects.requireNonNull(keyStore, "keyStore");
		Objects.requireNonNull(keyStorePassword, "keyStorePassword");
		Objects.requireNonNull(trustStore, "trustStore");
		Objects.requireNonNull(trustStorePassword, "trustStorePassword");
	}

	/**
	 * Returns the context for incoming connections.
	 * @return a context that requires a trusted certificate of the other side
	 * @throws IOException if a file cannot be read
	 * @throws GeneralSecurityException if a file's content cannot be used
	 */
	public SslContext serverContext() throws IOException, GeneralSecurityException {
		return SslContextBuilder.forServer(keyManagers())
			.sslProvider(SslProvider.JDK)
			.trustManager(trustManagers())
			.clientAuth(ClientAuth.REQUIRE)
			.build();
	}

	/**
	 * Returns the context for outgoing connections.
	 * @return a context that presents this process's certificate
	 * @throws IOException if a file cannot be read
	 * @throws GeneralSecurityException if a file's content cannot be used
	 */
	public SslContext clientContext() throws IOException, GeneralSecurityException {
		// Certificates name instances rather than IP addresses, so host names are not
		// verified. The handshake frame names the instance, and only instances hold
		// trusted certificates.
		return SslContextBuilder.forClient()
			.sslProvider(SslProvider.JDK)
			.keyManager(keyManagers())
			.trustManager(trustManagers())
			.endpointIdentificationAlgorithm(null)
			.build();
	}

	private KeyManagerFactory keyManagers() throws IOException, GeneralSecurityException {
		KeyManagerFactory factory = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
		factory.init(loadKeyStore(this.keyStore, this.keyStorePassword), this.keyStorePassword.toCharArray());
		return factory;
	}

	private TrustManagerFactory trustManagers() throws IOException, GeneralSecurityException {
		TrustManagerFactory factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
		factory.init(loadKeyStore(this.trustStore, this.trustStorePassword));
		return factory;
	}

	private static KeyStore loadKeyStore(Path file, String password) throws IOException, GeneralSecurityException {
		KeyStore store = KeyStore.getInstance(STORE_TYPE);
		try (InputStream input = Files.newInputStream(file)) {
			store.load(input, password.toCharArray());
		}
		return store;
	}

	@Override
	public String toString() {
		return "PeerTlsSettings[keyStore=" + this.keyStore + ", trustStore=" + this.trustStore + "]";
	}

}
