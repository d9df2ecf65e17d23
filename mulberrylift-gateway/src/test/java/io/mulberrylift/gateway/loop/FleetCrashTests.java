package io.mulberrylift.gateway.loop;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A request that ends each runner which runs it, sent again and again to the instances of
 * whole fleets in virtual time.
 */
class FleetCrashTests {

	private static final long START_MILLIS = 12_000;

	private static final long RESEND_MILLIS = 250;

	private static final long LEARNING_MILLIS = 4000;

	/** Sends that may reach runners later than the others. */
	private static final int MAX_LATE_SENDS = 3;

	private static final int SEEDS = 10;

	private static SimulatedFleet fleet(int instances, int zones, double requestsPerSecond, long seed) {
		SimulatedFleet fleet = new SimulatedFleet(instances, zones, 21, requestsPerSecond, seed);
		fleet.workMillis = 1000;
		return fleet;
	}

	/**
	 * Sends the request three times to a few instances and, after the time in which all
	 * should know it, to one instance after the other.
	 */
	private static void crash(SimulatedFleet fleet, int instances, int sends) {
		for (int send = 0; send < 3; send++) {
			fleet.sendCrashingRequest(send * 7 % instances);
		}
		fleet.run(fleet.workMillis + LEARNING_MILLIS);
		for (int send = 3; send < sends; send++) {
			fleet.sendCrashingRequest(send * 7 % instances);
			fleet.run(RESEND_MILLIS);
		}
	}

	/**
	 * Failure: instances went on to send a request under which runners had ended, because
	 * the reports of its ends were lost among those of the requests beside it.
	 */
	@Test
	void crashingRequestIsIsolatedByNineInstancesBesideOtherRequests() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = fleet(9, 3, 270, seed);
			fleet.run(START_MILLIS);
			crash(fleet, 9, 80);
			assertThat(fleet.crashes()).as("seed %d", seed).isGreaterThanOrEqualTo(3);
			assertThat(fleet.lateCrashingSends()).as("seed %d", seed).isLessThanOrEqualTo(MAX_LATE_SENDS);
			assertThat(fleet.isWithinPeerRate()).as("seed %d", seed).isTrue();
		}
	}

	/** Failure: as above, in fleets whose instances know their own zone only. */
	@Test
	void crashingRequestIsIsolatedByLargeFleets() {
		for (int instances : new int[] { 75, 300 }) {
			SimulatedFleet fleet = fleet(instances, (instances > 100) ? 12 : 3, 2 * instances, 5);
			fleet.run(2 * START_MILLIS);
			crash(fleet, instances, 60);
			assertThat(fleet.lateCrashingSends()).as("%d instances", instances).isLessThanOrEqualTo(MAX_LATE_SENDS);
			assertThat(fleet.isWithinPeerRate()).as("%d instances", instances).isTrue();
		}
	}

	/**
	 * Failure: an instance that started after the last end never heard that a request had
	 * ended runners.
	 */
	@Test
	void crashingRequestIsIsolatedByInstancesThatStartLater() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = fleet(9, 3, 30, seed);
			fleet.run(START_MILLIS);
			crash(fleet, 9, 12);
			fleet.run(10_000);
			fleet.stopInstance(4);
			fleet.run(2000);
			fleet.startInstance(4);
			fleet.run(3000);
			int before = fleet.crashes();
			for (int send = 0; send < 5; send++) {
				fleet.sendCrashingRequest(4);
				fleet.run(1000);
			}
			assertThat(fleet.crashes()).as("seed %d", seed).isEqualTo(before);
		}
	}

	/**
	 * Failure: runners that ended and started again under their identities counted once.
	 */
	@Test
	void crashingRequestIsIsolatedIfRunnersKeepTheirIdentities() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(9, 3, 2, 30, seed);
			fleet.runnersKeepIdentities = true;
			fleet.run(START_MILLIS);
			crash(fleet, 9, 120);
			assertThat(fleet.lateCrashingSends()).as("seed %d", seed).isLessThanOrEqualTo(MAX_LATE_SENDS);
		}
	}

	/**
	 * Failure: if all requests were equal and few runners left, none was in progress that
	 * could clear them when they were isolated, and they were refused for good.
	 */
	@Test
	void onlyRequestOfAllCallersIsServedAfterRunnersHaveEnded() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(9, 3, 3, 60, seed);
			fleet.runnersKeepIdentities = true;
			fleet.popularShare = 1;
			fleet.run(START_MILLIS);
			crash(fleet, 9, 40);
			fleet.run(5000);
			long settledMillis = fleet.nowMillis();
			fleet.run(5000);
			assertThat(fleet.isolatedHarmlessMillis).as("seed %d", seed).noneMatch((millis) -> millis >= settledMillis);
			assertThat(fleet.lateCrashingSends()).as("seed %d", seed).isLessThanOrEqualTo(MAX_LATE_SENDS);
		}
	}

	/**
	 * Failure: a popular request that was in progress on runners when another request
	 * ended them was refused for two minutes.
	 */
	@Test
	void popularRequestBesideACrashingOneIsServed() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = fleet(9, 3, 270, seed);
			fleet.popularShare = 0.5;
			fleet.run(START_MILLIS);
			crash(fleet, 9, 40);
			long settledMillis = fleet.nowMillis();
			fleet.run(5000);
			assertThat(fleet.isolatedHarmlessMillis).as("seed %d", seed)
				.noneMatch((millis) -> millis >= settledMillis)
				.hasSizeLessThan(50);
			assertThat(fleet.lateCrashingSends()).as("seed %d", seed).isLessThanOrEqualTo(MAX_LATE_SENDS);
		}
	}

}
