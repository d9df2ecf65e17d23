package io.mulberrylift.core.forwarding;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the time after which a refused caller should retry. Times are randomized so
 * that callers that were refused together do not retry together.
 */
final class RetryAfter {

	private static final long NOT_READY_MILLIS = 500;

	private static final long NO_ENDPOINT_MILLIS = 400;

	private static final long OVERLOADED_MILLIS = 600;

	private static final long NOT_RUN_MILLIS = 250;

	/** Short, because another instance accepts the request immediately. */
	private static final long SHUTTING_DOWN_MILLIS = 60;

	private static final long MIN_LIMITED_MILLIS = 100;

	/** Maximum time by which callers retry later than endpoints accept requests. */
	private static final long MAX_SPREAD_MILLIS = 1000;

	/** Longer than any deadline, so that an isolated request is not retried. */
	private static final long ISOLATED_MILLIS = 30_000;

	private RetryAfter() {
	}

	static Optional<Long> millis(RefusalCause cause, RandomGenerator random) {
		long base = switch (cause) {
			case NOT_READY -> NOT_READY_MILLIS;
			case NO_ENDPOINT -> NO_ENDPOINT_MILLIS;
			case OVERLOADED, EXPIRED_NOT_RUN -> OVERLOADED_MILLIS;
			case NOT_RUN -> NOT_RUN_MILLIS;
			case SHUTTING_DOWN -> SHUTTING_DOWN_MILLIS;
			case ISOLATED -> ISOLATED_MILLIS;
			default -> 0;
		};
		return (base == 0) ? Optional.empty() : Optional.of(base / 2 + random.nextLong(base));
	}

	/**
	 * Returns the time after which a caller should retry because endpoints accept
	 * requests at a limited rate or not yet. Some of the callers come later than the
	 * first request is accepted, so that they do not come together.
	 * @param cause cause of the refusal
	 * @param acceptedInMillis time until the next request is accepted
	 * @param random source of randomness
	 * @return the time in milliseconds
	 */
	static long untilAccepted(RefusalCause cause, long acceptedInMillis, RandomGenerator random) {
		long base = Math.max(MIN_LIMITED_MILLIS, acceptedInMillis);
		long spread = (cause == RefusalCause.ENDPOINTS_LIMITED) ? base : Math.min(base, MAX_SPREAD_MILLIS);
		return base + random.nextLong(spread);
	}

}
