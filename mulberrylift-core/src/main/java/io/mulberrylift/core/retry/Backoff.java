package io.mulberrylift.core.retry;

import java.util.Objects;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.configuration.RetrySettings;

/**
 * Computes delays that grow exponentially with full jitter.
 */
public final class Backoff {

	private static final int MAX_DOUBLINGS = 16;

	private Backoff() {
	}

	/**
	 * Returns the delay before a retry.
	 * @param attempt number of tries made so far, from 1
	 * @param settings base and limit
	 * @param random source of jitter
	 * @return the delay in milliseconds, at least 1
	 * @throws IllegalArgumentException if the number of tries is not positive
	 */
	public static long delayMillis(int attempt, RetrySettings settings, RandomGenerator random) {
		Objects.requireNonNull(settings, "settings");
		if (attempt < 1) {
			throw new IllegalArgumentException("The number of tries must be positive");
		}
		int doublings = Math.min(attempt - 1, MAX_DOUBLINGS);
		long ceilingMillis = Math.min(settings.maxBackoffMillis(), settings.baseBackoffMillis() << doublings);
		return 1 + random.nextLong(Math.max(1, ceilingMillis));
	}

}
