package io.mulberrylift.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Mutual TLS between instances: both sides present a certificate that the other one
 * trusts.
 *
 * <p>
 * Immutable. {@link #toString()} hides the passwords.
 * </p>
 *
 * @param keyStorePath PKCS12 file with this instance's private key and certificate
 * @param keyStorePassword password of the key store
 * @param trustStorePath PKCS12 file with the trusted certificates
 * @param trustStorePassword password of the trust store
 */
public record MutualTlsSettings(@JsonProperty(required = true) String keyStorePath,
		@JsonProperty(required = true) String keyStorePassword, @JsonProperty(required = true) String trustStorePath,
		@JsonProperty(required = true) String trustStorePassword) {

	@Override
	public String toString() {
		return "MutualTlsSettings[keyStorePath=" + this.keyStorePath + ", keyStorePassword=hidden, trustStorePath="
				+ this.trustStorePath + ", trustStorePassword=hidden]";
	}

}
