package io.mulberrylift.core.configuration;

/**
 * Settings of the guarantee that a request with an idempotency key runs at most once: the
 * {@code promise} group of the configuration.
 *
 * @param windowMillis how long a key stays valid after its first send, in milliseconds
 * @param maxStoredAnswerBytes memory for stored answers per instance, in bytes
 * @param maxKeys maximum number of keys stored per instance
 * @param clockSkewMillis maximum difference between any two clocks, in milliseconds
 * @param listFreshnessMillis age from which an instance list no longer gives a witness
 * seat the authority to grant claims, in milliseconds
 */
public record IdempotencySettings(long windowMillis, long maxStoredAnswerBytes, int maxKeys, long clockSkewMillis,
		long listFreshnessMillis) {

	/** The default settings. */
	public static final IdempotencySettings DEFAULTS = new IdempotencySettings(0, 0, 0, 0, 0);

	/**
	 * Creates the settings. Absent values, 0, get their defaults.
	 */
	public IdempotencySettings {
		windowMillis = (windowMillis != 0) ? windowMillis : 900_000;
		maxStoredAnswerBytes = (maxStoredAnswerBytes != 0) ? maxStoredAnswerBytes : 16L * 1_024 * 1_024;
		maxKeys = (maxKeys != 0) ? maxKeys : 200_000;
		clockSkewMillis = (clockSkewMillis != 0) ? clockSkewMillis : 500;
		listFreshnessMillis = (listFreshnessMillis != 0) ? listFreshnessMillis : 10_000;
	}

}
