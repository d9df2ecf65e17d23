package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceRetryBudgetTests {

	private static final RetryBounds BOUNDS = new RetryBounds(0.2, 10_000, 100);

	@Test
	void fleetStaysWithinItsBoundWhenEveryRequestFails() {
		int instances = 9;
		int repeats = 0;
		List<ServiceRetryBudget> fleet = new ArrayList<>();
		for (int instance = 0; instance < instances; instance++) {
			fleet.add(new ServiceRetryBudget(BOUNDS));
		}
		int requests = 0;
		for (long now = 0; now < 9999; now += 25) {
			ServiceRetryBudget one = fleet.get((int) (now / 25) % instances);
			one.recordRequest(now);
			requests++;
			repeats += (one.tryAcquire(instances, now)) ? 1 : 0;
		}
		assertThat(repeats).isPositive().isLessThanOrEqualTo((int) (BOUNDS.ratio() * requests + BOUNDS.extra()));
	}

	@Test
	void whatWasSpentComesBackAfterTheWindow() {
		ServiceRetryBudget allowance = new ServiceRetryBudget(new RetryBounds(0, 1000, 2));
		assertThat(allowance.tryAcquire(1, 0)).isTrue();
		assertThat(allowance.tryAcquire(1, 10)).isFalse();
		assertThat(allowance.tryAcquire(1, 1001)).isTrue();
	}

}
