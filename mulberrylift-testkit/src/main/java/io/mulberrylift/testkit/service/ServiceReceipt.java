package io.mulberrylift.testkit.service;

import java.util.HexFormat;

/**
 * Response body of the stand-in service, which depends only on the body of the call.
 *
 * <p>
 * Stateless and thread-safe utility class.
 * </p>
 */
public final class ServiceReceipt {

	private ServiceReceipt() {
	}

	/**
	 * Returns the response body for a call.
	 * @param fingerprint hash of the body of the call
	 * @return the JSON text
	 */
	public static String text(long fingerprint) {
		return "{\"receipt\":\"" + HexFormat.of().toHexDigits(fingerprint) + "\"}";
	}

}
