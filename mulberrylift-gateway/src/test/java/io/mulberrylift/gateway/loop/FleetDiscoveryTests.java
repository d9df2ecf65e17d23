package io.mulberrylift.gateway.loop;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FleetDiscoveryTests {

	/**
	 * Failure: instances of a zone without a seed did not find each other for more than
	 * 20 s, and the list of the others' work stayed incomplete.
	 */
	@Test
	void instancesOfAZoneWithoutASeedDiscoverEachOther() {
		for (long seed = 1; seed <= 5; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(83, 4, 1, 83, seed);
			fleet.run(12_500);
			assertThat(fleet.discoveredInZone().min()).as("seed %d", seed).hasValue(20);
		}
	}

}
