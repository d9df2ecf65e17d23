package io.mulberrylift.core.model;

/**
 * Names one non-idempotent request across all its sends.
 *
 * <p>
 * Immutable and safe for use by several threads. The first-sent time is part of the key:
 * a sender that changes it between two sends of one request has sent two requests.
 * </p>
 *
 * @param value the key as the caller sent it, not blank
 * @param firstSentEpochMillis time of the first send by the caller's clock in
 * milliseconds since the epoch
 */
public record IdempotencyKey(String value, long firstSentEpochMillis) {

	/** Greatest accepted length of a key in characters. */
	public static final int MAX_LENGTH_CHARS = 128;

	/**
	 * Creates the key.
	 * @throws IllegalArgumentException if the value is null, blank or too long
	 */
	public IdempotencyKey {
		if (value == null || value.isBlank() || value.length() > MAX_LENGTH_CHARS) {
			throw new IllegalArgumentException(
					"Idempotency key must have 1 to " + MAX_LENGTH_CHARS + " characters; send a UUID of version 7");
		}
	}

}
