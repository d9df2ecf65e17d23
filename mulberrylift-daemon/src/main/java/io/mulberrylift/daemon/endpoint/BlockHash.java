package io.mulberrylift.daemon.endpoint;

import java.util.HexFormat;

/**
 * Formats and parses hashes of prompt blocks in the hexadecimal form that engines use.
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
