package io.mulberrylift.gateway.loop;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Instances that cannot reach any endpoint while their callers and peers reach them, in
 * whole fleets in virtual time.
 */
class FleetLinkTests {

	private static final long START_MILLIS = 12_000;

	private static final long CONTACT_MILLIS = 3000;

	private static final int SEEDS = 5;

	private static Set<Integer> instances(int from, int to) {
		return IntStream.range(from, to).boxed().collect(Collectors.toSet());
	}

	/**
	 * Failure: callers of instances that had lost their links to all endpoints were not
	 * served, although peers could reach the endpoints.
	 */
	@Test
	void callersOfInstancesWithoutLinksToEndpointsAreServed() {
		for (int cut : new int[] { 2, 6 }) {
			for (long seed = 1; seed <= SEEDS; seed++) {
				SimulatedFleet fleet = new SimulatedFleet(9, 3, 24, 72, seed);
				fleet.run(START_MILLIS);
				fleet.cutInstances = instances(0, cut);
				fleet.run(CONTACT_MILLIS);
				long first = fleet.requestNumber();
				fleet.run(9000);
				double others = fleet.answeredShare(first, (index) -> index >= cut);
				assertThat(fleet.answeredShare(first, (index) -> index < cut)).as("%d cut, seed %d", cut, seed)
					.isGreaterThanOrEqualTo(others * 2 / 3);
				assertThat(others).as("%d cut, seed %d", cut, seed).isGreaterThan(0.95);
			}
		}
	}

}
