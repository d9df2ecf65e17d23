package io.mulberrylift.core.request;

import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.configuration.RetrySettings;
import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.retry.Backoff;
import io.mulberrylift.core.retry.RetryBudget;

/**
 * Decides whether and when a failed attempt is retried.
 *
 * <p>
 * Not thread-safe; owned by the reducer. A non-repeatable request is never retried once
 * an attempt may have run. All requests share one retry budget.
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
		boolean retryAllowed = event.failure().retryable() && !entry.callerDisconnected
				&& entry.attemptsMade < settings.maxAttempts() && (entry.spec.repeatable() || !entry.mayHaveRun);
		if (!retryAllowed) {
			return Optional.empty();
		}
		long delayMillis = Backoff.delayMillis(entry.attemptsMade, settings, this.random);
		long retryMonotonicMillis = event.at().monotonicMillis() + delayMillis;
		if (retryMonotonicMillis >= entry.deadlineMonotonicMillis || !this.budget.tryAcquire()) {
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
