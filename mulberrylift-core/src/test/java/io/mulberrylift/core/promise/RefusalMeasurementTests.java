package io.mulberrylift.core.promise;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Measures how many sends are refused in a healthy fleet and under single disturbances,
 * and checks the guarantees meanwhile.
 */
class RefusalMeasurementTests {

	private static final long LOAD_MILLIS = 20_000;

	private static final long END_MILLIS = 10_000;

	private static final int RUNS = 10;

	@Test
	void steadyState() {
		measure("steady state", 3, 2, (fleet) -> {
		});
	}

	@Test
	void steadyStateOfOneInstance() {
		measure("steady state, one instance", 1, 1, (fleet) -> {
		});
	}

	@Test
	void rollingReplacement() {
		measure("rolling replacement", 3, 2, (fleet) -> fleet.replaceAll(2_000));
	}

	@Test
	void rollingReplacementInOneZone() {
		measure("rolling replacement, one zone", 1, 3, (fleet) -> fleet.replaceAll(4_000));
	}

	@Test
	void isolationOfOneZone() {
		measure("one of three zones isolated for 10 s", 3, 2, (fleet) -> {
			fleet.network().isolate(fleet.zones().get(0));
			fleet.time().schedule(10_000, () -> fleet.network().reconnect(fleet.zones().get(0)));
		});
	}

	@Test
	void unplannedLossOfAHolder() {
		measure("loss of a witness seat holder", 3, 2,
				(fleet) -> Fault.KILL.inject(fleet, fleet.liveInstances().get(0)));
	}

	@Test
	void platformDown() {
		measure("platform unavailable for 8 s", 3, 2,
				(fleet) -> Fault.PLATFORM_DOWN.inject(fleet, fleet.liveInstances().get(0)));
	}

	private static void measure(String name, int zones, int instancesPerZone, Disturbance disturbance) {
		Map<String, Integer> total = new java.util.TreeMap<>();
		for (int run = 0; run < RUNS; run++) {
			VirtualFleet fleet = new VirtualFleet(run, zones, instancesPerZone, 4);
			fleet.time().runFor(VirtualFleet.WARM_UP_MILLIS + 2_000);
			VirtualLoad.start(fleet, LOAD_MILLIS, 100);
			fleet.time().schedule(2_000, () -> disturbance.start(fleet));
			fleet.time().runFor(LOAD_MILLIS + END_MILLIS);
			assertThat(fleet.history().violations(fleet.time().nowMillis())).isEmpty();
			fleet.history().outcomeCounts().forEach((outcome, count) -> total.merge(outcome, count, Integer::sum));
		}
		System.out.printf("promise: %s, sends by outcome %s%n", name, total);
	}

	/**
	 * A disturbance of the fleet during the load.
	 */
	@FunctionalInterface
	interface Disturbance {

		void start(VirtualFleet fleet);

	}

}
