package io.mulberrylift.daemon.caller;

import java.util.OptionalLong;
import java.util.UUID;

/**
 * Reads the timestamp of UUIDs of version 7.
 */
final class UuidV7 {

	private static final int VERSION = 7;

	private static final int VARIANT = 2;

	private static final int TIME_SHIFT_BITS = 16;

	private UuidV7() {
	}

	/**
	 * Returns the creation time of a key.
	 * @param key the key, case-insensitive
	 * @return milliseconds since the epoch, empty if the key is not a UUID of version 7
	 */
	static OptionalLong epochMillis(String key) {
		try {
			UUID uuid = UUID.fromString(key);
			boolean canonical = uuid.toString().equalsIgnoreCase(key);
			boolean timed = canonical && uuid.version() == VERSION && uuid.variant() == VARIANT;
			return (timed) ? OptionalLong.of(uuid.getMostSignificantBits() >>> TIME_SHIFT_BITS) : OptionalLong.empty();
		}
		catch (IllegalArgumentException ex) {
			return OptionalLong.empty();
		}
	}

}
