package io.mulberrylift.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * TLS on the port for callers.
 *
 * <p>
 * Immutable. {@link #toString()} hides the password.
 * </p>
 *
 * @param keyStorePath PKCS12 file with the private key and certificate
 * @param keyStorePassword password of the key store
 */
public record TlsSettings(@JsonProperty(required = true) String keyStorePath,
		@JsonProperty(required = true) String keyStorePassword) {

	@Override
	public String toString() {
		return "TlsSettings[keyStorePath=" + this.keyStorePath + ", keyStorePassword=hidden]";
	}

}
