package io.mulberrylift.core.promise;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Measures how many sends are refused although nothing hinders them, and checks the
 * promises meanwhile.
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
	void cutOfOneZone() {
		measure("one of three zones cut off for 10 s", 3, 2, (fleet) -> {
			fleet.network().isolate(fleet.zones().get(0));
			fleet.time().schedule(10_000, () -> fleet.network().reconnect(fleet.zones().get(0)));
		});
	}

	@Test
	void unplannedLossOfAHolder() {
		measure("loss of a seat holder", 3, 2, (fleet) -> Fault.KILL.inject(fleet, fleet.liveInstances().get(0)));
	}

	@Test
	void platformDown() {
		measure("platform down for 8 s", 3, 2,
				(fleet) -> Fault.PLATFORM_DOWN.inject(fleet, fleet.liveInstances().get(0)));
	}

	private static void measure(String name, int zones, int instancesPerZone, Trouble trouble) {
		Map<String, Integer> total = new java.util.TreeMap<>();
		for (int run = 0; run < RUNS; run++) {
			VirtualFleet fleet = new VirtualFleet(run, zones, instancesPerZone, 4);
			fleet.time().runFor(VirtualFleet.WARM_UP_MILLIS + 2_000);
			VirtualLoad.start(fleet, LOAD_MILLIS, 100);
			fleet.time().schedule(2_000, () -> trouble.start(fleet));
			fleet.time().runFor(LOAD_MILLIS + END_MILLIS);
			assertThat(fleet.history().violations(fleet.time().nowMillis())).isEmpty();
			fleet.history().outcomeCounts().forEach((outcome, count) -> total.merge(outcome, count, Integer::sum));
		}
		System.out.printf("promise: %s, sends by outcome %s%n", name, total);
	}

	/**
	 * What hinders the fleet during the load.
	 */
	@FunctionalInterface
	interface Trouble {

		void start(VirtualFleet fleet);

	}

}
