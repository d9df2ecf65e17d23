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

}
