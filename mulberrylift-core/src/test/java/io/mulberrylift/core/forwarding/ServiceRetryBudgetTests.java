package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceRetryBudgetTests {

	private static final RetryBounds BOUNDS = new RetryBounds(0.2, 10_000, 100);

	@Test
	void fleetStaysWithinItsRetryBoundWhenEveryRequestFails() {
		int instances = 9;
		int retries = 0;
		List<ServiceRetryBudget> fleet = new ArrayList<>();
		for (int instance = 0; instance < instances; instance++) {
			fleet.add(new ServiceRetryBudget(BOUNDS));
		}
		int requests = 0;
		for (long now = 0; now < 9999; now += 25) {
			ServiceRetryBudget budget = fleet.get((int) (now / 25) % instances);
			budget.recordRequest(now);
			requests++;
			retries += (budget.tryAcquire(1.0 / instances, now)) ? 1 : 0;
		}
		assertThat(retries).isPositive().isLessThanOrEqualTo((int) (BOUNDS.ratio() * requests + BOUNDS.extra()));
	}

	@Test
	void retriesExpireAfterTheWindow() {
		ServiceRetryBudget budget = new ServiceRetryBudget(new RetryBounds(0, 1000, 2));
		assertThat(budget.tryAcquire(1, 0)).isTrue();
		assertThat(budget.tryAcquire(1, 10)).isFalse();
		assertThat(budget.tryAcquire(1, 1001)).isTrue();
	}

}
