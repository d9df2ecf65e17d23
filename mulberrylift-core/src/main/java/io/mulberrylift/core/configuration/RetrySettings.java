package io.mulberrylift.core.configuration;

/**
 * Limits on retries.
 *
 * @param budgetShare maximum ratio of retries to first attempts
 * @param maxAttempts maximum number of attempts per request
 * @param baseBackoffMillis delay before the first retry in milliseconds
 * @param maxBackoffMillis maximum delay before a retry in milliseconds
 */
public record RetrySettings(double budgetShare, int maxAttempts, long baseBackoffMillis, long maxBackoffMillis) {

	/** The default settings. */
	public static final RetrySettings DEFAULTS = new RetrySettings(0, 0, 0, 0);

	/**
	 * Creates the settings. Absent values, 0, get their defaults.
	 */
	public RetrySettings {
		budgetShare = (budgetShare != 0) ? budgetShare : 0.1;
		maxAttempts = (maxAttempts != 0) ? maxAttempts : 3;
		baseBackoffMillis = (baseBackoffMillis != 0) ? baseBackoffMillis : 20;
		maxBackoffMillis = (maxBackoffMillis != 0) ? maxBackoffMillis : 1_000;
	}

}
