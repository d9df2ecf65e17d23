package io.mulberrylift.core.configuration;

/**
 * What is remembered of non-idempotent requests.
 *
 * @param windowMillis how long a key stays valid after its first send, in milliseconds
 * @param maxStoredAnswerBytes memory for stored answers per instance, in bytes
 * @param maxKeys most keys remembered per instance
 * @param clockSkewMillis greatest difference between any two clocks, in milliseconds
 * @param listFreshnessMillis age from which a list no longer gives authority, in
 * milliseconds
 */
public record IdempotencySettings(long windowMillis, long maxStoredAnswerBytes, int maxKeys, long clockSkewMillis,
		long listFreshnessMillis) {

	/** Values used when the document names none. */
	public static final IdempotencySettings DEFAULTS = new IdempotencySettings(0, 0, 0, 0, 0);

	/**
	 * Creates the settings. Absent values, 0, take their defaults.
	 */
	public IdempotencySettings {
		windowMillis = (windowMillis != 0) ? windowMillis : 900_000;
		maxStoredAnswerBytes = (maxStoredAnswerBytes != 0) ? maxStoredAnswerBytes : 16L * 1_024 * 1_024;
		maxKeys = (maxKeys != 0) ? maxKeys : 200_000;
		clockSkewMillis = (clockSkewMillis != 0) ? clockSkewMillis : 500;
		listFreshnessMillis = (listFreshnessMillis != 0) ? listFreshnessMillis : 10_000;
	}

}
