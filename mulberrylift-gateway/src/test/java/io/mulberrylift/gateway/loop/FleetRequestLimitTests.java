package io.mulberrylift.gateway.loop;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests of whole fleets in virtual time to endpoints that name limits, counted over
 * all instances.
 */
class FleetRequestLimitTests {

	private static final long START_MILLIS = 10_000;

	private static final long LIMITED_MILLIS = 30_000;

	private static SimulatedFleet limitedFleet(int instances, int zones, double limit) {
		SimulatedFleet fleet = new SimulatedFleet(instances, zones, 5, instances * 3, 7);
		fleet.run(START_MILLIS);
		fleet.limit(0, limit);
		fleet.run(LIMITED_MILLIS);
		return fleet;
	}

	/**
	 * Failure: an endpoint that named a limit got as many requests as before, because no
	 * instance read it.
	 */
	@Test
	void limitedEndpointOfNineInstancesGetsNoMoreThanItsLimit() {
		for (double limit : new double[] { 0, 0.1, 1, 1.2, 5 }) {
			SimulatedFleet fleet = limitedFleet(9, 3, limit);
			assertThat(fleet.violations()).as("limit %s", limit).isEmpty();
			assertThat(fleet.refused).isEmpty();
		}
	}

	/**
	 * Failure: as above, in a fleet whose instances would exceed the limit with one
	 * request each.
	 */
	@Test
	void limitedEndpointOfSeventyFiveInstancesGetsNoMoreThanItsLimit() {
		for (double limit : new double[] { 0.1, 1, 5 }) {
			SimulatedFleet fleet = limitedFleet(75, 3, limit);
			assertThat(fleet.violations()).as("limit %s", limit).isEmpty();
			assertThat(fleet.refused).isEmpty();
		}
	}

	/** Failure: as above, in a fleet with more zones than the limit has shares. */
	@Test
	void limitedEndpointOfThreeHundredInstancesGetsNoMoreThanItsLimit() {
		SimulatedFleet fleet = limitedFleet(300, 12, 1);
		assertThat(fleet.violations()).isEmpty();
		assertThat(fleet.refused).isEmpty();
	}

}
