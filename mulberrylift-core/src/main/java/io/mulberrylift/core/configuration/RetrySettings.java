package io.mulberrylift.core.configuration;

/**
 * Limits on repeated tries.
 *
 * @param budgetShare retries allowed per first try
 * @param maxAttempts most tries of one request
 * @param baseBackoffMillis first delay before a retry in milliseconds
 * @param maxBackoffMillis greatest delay before a retry in milliseconds
 */
public record RetrySettings(double budgetShare, int maxAttempts, long baseBackoffMillis, long maxBackoffMillis) {

	/** Values used when the document names none. */
	public static final RetrySettings DEFAULTS = new RetrySettings(0, 0, 0, 0);

	/**
	 * Creates the settings. Absent values, 0, take their defaults.
	 */
	public RetrySettings {
		budgetShare = (budgetShare != 0) ? budgetShare : 0.1;
		maxAttempts = (maxAttempts != 0) ? maxAttempts : 3;
		baseBackoffMillis = (baseBackoffMillis != 0) ? baseBackoffMillis : 20;
		maxBackoffMillis = (maxBackoffMillis != 0) ? maxBackoffMillis : 1_000;
	}

}
