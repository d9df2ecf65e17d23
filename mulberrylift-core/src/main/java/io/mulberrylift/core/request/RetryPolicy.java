package io.mulberrylift.core.request;

import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.configuration.RetrySettings;
import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.retry.Backoff;
import io.mulberrylift.core.retry.RetryBudget;

/**
 * Decides whether and when a failed attempt is followed by another.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. A request that must not run
 * twice is never tried again once an attempt may have run. Retries of all requests
 * together stay within the budget.
 * </p>
 */
public final class RetryPolicy {

	private final RetryBudget budget = new RetryBudget();

	private final RandomGenerator random;

	/**
	 * Creates the policy.
	 * @param random source of jitter, not null
	 */
	public RetryPolicy(RandomGenerator random) {
		this.random = Objects.requireNonNull(random, "random");
	}

	void attemptStarted(RequestEntry entry, RetrySettings settings) {
		if (entry.attemptsMade == 1) {
			this.budget.firstAttempt(settings.budgetShare());
		}
	}

	Optional<Long> delayBeforeRetry(RequestEntry entry, AttemptEvent.Failed event, RetrySettings settings) {
		boolean allowed = event.failure().retryable() && !entry.callerDisconnected
				&& entry.attemptsMade < settings.maxAttempts() && (entry.spec.repeatable() || !entry.mayHaveRun);
		if (!allowed) {
			return Optional.empty();
		}
		long delayMillis = Backoff.delayMillis(entry.attemptsMade, settings, this.random);
		long readyMonotonicMillis = event.at().monotonicMillis() + delayMillis;
		if (readyMonotonicMillis >= entry.deadlineMonotonicMillis || !this.budget.tryAcquire()) {
			return Optional.empty();
		}
		return Optional.of(delayMillis);
	}

	long reservationDelayMillis(RetrySettings settings) {
		return Backoff.delayMillis(2, settings, this.random);
	}

	double balance() {
		return this.budget.balance();
	}

}
