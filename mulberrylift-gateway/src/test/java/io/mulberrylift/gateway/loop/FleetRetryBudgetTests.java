package io.mulberrylift.gateway.loop;

import java.util.List;

import io.mulberrylift.core.forwarding.RetryBounds;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that whole fleets send again in virtual time while every request fails,
 * counted over all instances.
 */
class FleetRetryBudgetTests {

	private static final RetryBounds BOUNDS = SimulatedFleet.RETRY_BOUNDS;

	private static final long START_MILLIS = 20_000;

	private static final long FAILING_MILLIS = 40_000;

	private static SimulatedFleet failingFleet(int instances, int zones, double requestsPerSecond) {
		SimulatedFleet fleet = new SimulatedFleet(instances, zones, 5, requestsPerSecond, 3);
		fleet.run(START_MILLIS);
		fleet.failing = true;
		return fleet;
	}

	/**
	 * Returns by how many retries the bounds were exceeded at most in a window.
	 */
	private static double maxExcess(SimulatedFleet fleet) {
		double max = Double.NEGATIVE_INFINITY;
		for (long retry : fleet.retryMillis) {
			long retries = countIn(fleet.retryMillis, retry - BOUNDS.windowMillis(), retry);
			long requests = countIn(fleet.requestMillis, retry - BOUNDS.windowMillis(), retry);
			max = Math.max(max, retries - BOUNDS.ratio() * requests - BOUNDS.extra());
		}
		return max;
	}

	private static long countIn(List<Long> millis, long after, long until) {
		return millis.stream().filter((each) -> each > after && each <= until).count();
	}

	/**
	 * Failure: instances that know a part of the fleet divided the bound by the number of
	 * instances that they knew.
	 */
	@Test
	void largeFleetsStayWithinTheirRetryBounds() {
		for (int[] size : new int[][] { { 9, 3 }, { 75, 3 }, { 83, 4 } }) {
			SimulatedFleet fleet = failingFleet(size[0], size[1], 20);
			fleet.run(FAILING_MILLIS);
			assertThat(fleet.retryMillis).isNotEmpty();
			assertThat(maxExcess(fleet)).as("%d instances in %d zones", size[0], size[1]).isNotPositive();
		}
	}

	/** Failure: as above, also while instances discover each other. */
	@Test
	void threeHundredInstancesStayWithinTheirRetryBounds() {
		SimulatedFleet fleet = failingFleet(300, 12, 60);
		fleet.run(FAILING_MILLIS);
		assertThat(maxExcess(fleet)).isNotPositive();
	}

	/** Failure: each side of a partition would use the entire bound. */
	@Test
	void zonesThatAreCutOffStayWithinTheBoundsTogether() {
		SimulatedFleet fleet = failingFleet(9, 3, 20);
		fleet.connect(String::equals);
		fleet.run(FAILING_MILLIS);
		assertThat(maxExcess(fleet)).isNotPositive();
	}

}
