package io.mulberrylift.gateway.loop;

import java.util.List;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that are all different but contain a part that ends each runner which answers
 * them, sent to the instances of whole fleets in virtual time.
 */
class FleetCrashingPartTests {

	private static final long START_MILLIS = 12_000;

	private static final int RUNNERS = 24;

	private static final int SEEDS = 5;

	/** Number of ended runners from which requests with the part must not be sent. */
	private static final int MAX_CRASHES = 5;

	/** Sends that may reach runners later than the others. */
	private static final int MAX_LATE_SENDS = 3;

	private static final List<Long> SHARED_PARTS = LongStream.rangeClosed(1, 60).boxed().toList();

	private static SimulatedFleet fleet(int instances, int zones, double requestsPerSecond, long seed) {
		SimulatedFleet fleet = new SimulatedFleet(instances, zones, RUNNERS, requestsPerSecond, seed);
		fleet.workMillis = 200;
		fleet.sharedParts = SHARED_PARTS;
		return fleet;
	}

	/**
	 * Sends requests with the part to one instance after the other.
	 */
	private static void sendCrashing(SimulatedFleet fleet, int instances, int count, long intervalMillis) {
		for (int send = 0; send < count; send++) {
			fleet.sendRequestWithCrashingPart(send * 7 % instances, List.of(SHARED_PARTS.get(send % 60)));
			fleet.run(intervalMillis);
		}
	}

	/**
	 * Failure: requests with a part under which runners had ended were sent on and on,
	 * because each of them was new and only equal requests were counted.
	 */
	@Test
	void requestsWithACrashingPartAreIsolatedByNineInstances() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = fleet(9, 3, 72, seed);
			fleet.run(START_MILLIS);
			sendCrashing(fleet, 9, 41, 480);
			assertThat(fleet.crashes()).as("seed %d", seed).isGreaterThanOrEqualTo(2);
			assertThat(fleet.lateCrashingSends(MAX_CRASHES)).as("seed %d", seed).isLessThanOrEqualTo(MAX_LATE_SENDS);
			assertThat(fleet.isWithinPeerRate()).as("seed %d", seed).isTrue();
		}
	}

	/** Failure: as above, in fleets whose instances know their own zone only. */
	@Test
	void requestsWithACrashingPartAreIsolatedByLargeFleets() {
		for (int instances : new int[] { 75, 300 }) {
			SimulatedFleet fleet = fleet(instances, (instances > 100) ? 12 : 3, 2 * instances, 5);
			fleet.run(2 * START_MILLIS);
			sendCrashing(fleet, instances, 100, 200);
			assertThat(fleet.crashes()).as("%d instances", instances).isGreaterThanOrEqualTo(2);
			assertThat(fleet.lateCrashingSends(MAX_CRASHES)).as("%d instances", instances)
				.isLessThanOrEqualTo(MAX_LATE_SENDS);
			assertThat(fleet.isolatedHarmlessMillis).as("%d instances", instances).hasSizeLessThan(20);
			assertThat(fleet.isWithinPeerRate()).as("%d instances", instances).isTrue();
		}
	}

	/**
	 * Failure: parts that many requests contain, or few, were isolated with the part that
	 * ends runners beside them.
	 */
	@Test
	void requestsWithOtherPartsAreServedBesideACrashingPart() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = fleet(9, 3, 72, seed);
			fleet.run(START_MILLIS);
			sendCrashing(fleet, 9, 12, 480);
			fleet.isolatedHarmlessMillis.clear();
			sendCrashing(fleet, 9, 30, 480);
			assertThat(fleet.isolatedHarmlessMillis).as("seed %d", seed).isEmpty();
		}
	}

	/**
	 * Failure: with few other requests, a shared part had the same losses as the part
	 * that ends runners.
	 */
	@Test
	void requestsWithASharedPartAreServedInQuietTimes() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = fleet(9, 3, 0.01, seed);
			fleet.run(START_MILLIS);
			fleet.sendHarmlessRequest(0, SHARED_PARTS.subList(0, 2));
			for (int send = 0; send < 20; send++) {
				fleet.sendRequestWithCrashingPart(send % 9, SHARED_PARTS.subList(0, 2));
				fleet.run(1000);
			}
			for (int send = 0; send < 20; send++) {
				fleet.sendHarmlessRequest(send % 9, SHARED_PARTS.subList(0, 2));
				fleet.run(1000);
			}
			assertThat(fleet.isolatedHarmlessMillis).as("seed %d", seed).hasSizeLessThanOrEqualTo(1);
			assertThat(fleet.lateCrashingSends(MAX_CRASHES)).as("seed %d", seed).isLessThanOrEqualTo(MAX_LATE_SENDS);
		}
	}

	/**
	 * Failure: runners that ended for other reasons would have isolated the parts that
	 * the requests on them share.
	 */
	@Test
	void runnersThatEndForOtherReasonsIsolateNothingForLong() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = fleet(9, 3, 72, seed);
			fleet.run(START_MILLIS);
			for (int round = 0; round < 5; round++) {
				fleet.endRunners(4);
				fleet.run(2500);
			}
			long settledMillis = fleet.nowMillis() - 1000;
			fleet.run(5000);
			assertThat(fleet.isolatedHarmlessMillis).as("seed %d", seed)
				.noneMatch((millis) -> millis >= settledMillis)
				.hasSizeLessThan(10);
		}
	}

}
