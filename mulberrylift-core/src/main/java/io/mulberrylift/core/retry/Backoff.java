package io.mulberrylift.core.retry;

import java.util.Objects;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.configuration.RetrySettings;

/**
 * Exponential backoff with full jitter.
 */
public final class Backoff {

	private static final int MAX_DOUBLINGS = 16;

	private Backoff() {
	}

	/**
	 * Returns the delay before a retry.
	 * @param attemptsMade number of attempts made so far, at least 1
	 * @param settings the base and maximum backoff
	 * @param random the source of jitter
	 * @return the delay in milliseconds, at least 1
	 * @throws IllegalArgumentException if the number of attempts is not positive
	 */
	public static long delayMillis(int attemptsMade, RetrySettings settings, RandomGenerator random) {
		Objects.requireNonNull(settings, "settings");
		if (attemptsMade < 1) {
			throw new IllegalArgumentException("The number of attempts must be positive");
		}
		int doublings = Math.min(attemptsMade - 1, MAX_DOUBLINGS);
		long maxDelayMillis = Math.min(settings.maxBackoffMillis(), settings.baseBackoffMillis() << doublings);
		return 1 + random.nextLong(Math.max(1, maxDelayMillis));
	}

}
