package io.mulberrylift.core.model;

/**
 * Identifies one non-idempotent request across all sends of it.
 *
 * <p>
 * Immutable and thread-safe. The time of the first send is part of the key: if a caller
 * changes it between two sends, they count as two different requests.
 * </p>
 *
 * @param value the key as the caller sent it, not blank
 * @param firstSentEpochMillis time of the first send by the caller's clock, in
 * milliseconds since the epoch
 */
public record IdempotencyKey(String value, long firstSentEpochMillis) {

	/** Maximum accepted length of a key in characters. */
	public static final int MAX_LENGTH_CHARS = 128;

	/**
	 * Creates the key.
	 * @throws IllegalArgumentException if the value is null, blank or longer than
	 * {@link #MAX_LENGTH_CHARS}
	 */
	public IdempotencyKey {
		if (value == null || value.isBlank() || value.length() > MAX_LENGTH_CHARS) {
			throw new IllegalArgumentException(
					"Idempotency key must have 1 to " + MAX_LENGTH_CHARS + " characters; send a UUID of version 7");
		}
	}

}
