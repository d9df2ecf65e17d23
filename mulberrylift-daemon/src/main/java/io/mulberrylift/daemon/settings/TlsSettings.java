package io.mulberrylift.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Encryption towards callers.
 *
 * <p>
 * Immutable. The text form does not show the password.
 * </p>
 *
 * @param keyStorePath file with the certificate and its key, in PKCS12 form
 * @param keyStorePassword password of the file
 */
public record TlsSettings(@JsonProperty(required = true) String keyStorePath,
		@JsonProperty(required = true) String keyStorePassword) {

	@Override
	public String toString() {
		return "TlsSettings[keyStorePath=" + this.keyStorePath + ", keyStorePassword=hidden]";
	}

}
