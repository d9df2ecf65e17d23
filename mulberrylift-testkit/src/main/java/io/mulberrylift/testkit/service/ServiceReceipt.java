package io.mulberrylift.testkit.service;

import java.util.HexFormat;

/**
 * Body of the answers that the stand-in service gives: a function of the call's body
 * alone.
 *
 * <p>
 * Utility class without state, safe for use by several threads.
 * </p>
 */
public final class ServiceReceipt {

	private ServiceReceipt() {
	}

	/**
	 * Returns the receipt of a call.
	 * @param fingerprint hash of the call's body
	 * @return the text
	 */
	public static String text(long fingerprint) {
		return "{\"receipt\":\"" + HexFormat.of().toHexDigits(fingerprint) + "\"}";
	}

}
