package io.mulberrylift.daemon.endpoint;

import java.util.HexFormat;

/**
 * Writes and reads the hashes of prompt blocks as engines know them.
 */
final class BlockHash {

	private static final HexFormat HEX = HexFormat.of();

	private BlockHash() {
	}

	static String format(long hash) {
		return HEX.toHexDigits(hash);
	}

	static long parse(String digits) {
		return HexFormat.fromHexDigitsToLong(digits);
	}

}
