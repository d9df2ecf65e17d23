package io.mulberrylift.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Encryption between instances, where both sides show a trusted certificate.
 *
 * <p>
 * Immutable. The text form does not show the passwords.
 * </p>
 *
 * @param keyStorePath file with this instance's certificate and its key, in PKCS12 form
 * @param keyStorePassword password of the key store
 * @param trustStorePath file with the trusted certificates, in PKCS12 form
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
