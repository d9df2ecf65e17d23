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

}
