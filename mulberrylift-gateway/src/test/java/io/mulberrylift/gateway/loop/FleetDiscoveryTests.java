package io.mulberrylift.gateway.loop;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FleetDiscoveryTests {

	/**
	 * Failure: of 300 instances that start together, some were not told of any other one
	 * for more than 30 s, since the seeds had two messages in a round for all.
	 */
	@Test
	void noInstanceOfALargeFleetStaysAlone() {
		for (long seed = 1; seed <= 3; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(300, 12, 1, 60, seed);
			fleet.run(20_000);
			assertThat(fleet.discoveredInZone().min().orElseThrow()).as("seed %d", seed).isGreaterThan(1);
			assertThat(fleet.isWithinPeerRate()).as("seed %d", seed).isTrue();
		}
	}

	/**
	 * Failure: instances of a zone without a seed did not find each other for more than
	 * 20 s, and the list of the others' work stayed incomplete.
	 */
	@Test
	void instancesOfAZoneWithoutASeedDiscoverEachOther() {
		// An instance knew 18 and 19 of 20 with seeds 21 and 40.
		for (long seed : new long[] { 1, 2, 3, 4, 5, 21, 40 }) {
			SimulatedFleet fleet = new SimulatedFleet(83, 4, 1, 83, seed);
			fleet.run(12_500);
			assertThat(fleet.discoveredInZone().min()).as("seed %d", seed).hasValue(20);
		}
	}

}
