package io.mulberrylift.gateway.loop;

import java.util.stream.IntStream;

import io.mulberrylift.core.forwarding.RefusalCause;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests of whole fleets in virtual time to endpoints that name limits, counted over
 * all instances.
 */
class FleetRequestLimitTests {

	private static final long START_MILLIS = 10_000;

	private static final long LIMITED_MILLIS = 30_000;

	/** Time after which all instances know the limits and their shares. */
	private static final long SETTLING_MILLIS = 20_000;

	/**
	 * Time in which the end of a limit of 0 is noticed: 10 s between requests of the
	 * holder of its only share, and gossip.
	 */
	private static final long NOTICE_MILLIS = 12_000;

	/** Time between two limits in which the end of the first one is still published. */
	private static final long AGAIN_MILLIS = 5000;

	private static final int SEEDS = 10;

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
			assertThat(fleet.runners.get(0).maxExcess()).as("limit %s", limit).isNotPositive();
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
			assertThat(fleet.runners.get(0).maxExcess()).as("limit %s", limit).isNotPositive();
			assertThat(fleet.refused).isEmpty();
		}
	}

	/**
	 * Failure: as above, in a fleet with more zones than the limit has shares. Some of
	 * its instances send their first request long after the others.
	 */
	@Test
	void limitedEndpointOfThreeHundredInstancesGetsNoMoreThanItsLimit() {
		SimulatedFleet fleet = limitedFleet(300, 12, 1);
		assertThat(fleet.runners.get(0).maxExcessOfTold()).isNotPositive();
		assertThat(fleet.refused).isEmpty();
	}

	@Test
	void serviceWhoseEndpointsAreAllLimitedUsesTheirLimitsAndRefusesTheRestAtOnce() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(9, 3, 3, 20, seed);
			fleet.run(START_MILLIS);
			fleet.limit(0, 1);
			fleet.limit(1, 1.2);
			fleet.limit(2, 0.1);
			fleet.run(SETTLING_MILLIS);
			int answeredBefore = fleet.answered;
			fleet.run(LIMITED_MILLIS);
			assertThat(fleet.runners).allMatch((runner) -> runner.maxExcess() <= 0);
			double limits = (1 + 1.2 + 0.1) * LIMITED_MILLIS / 1000;
			assertThat(fleet.answered - answeredBefore).isBetween((int) (limits / 2), (int) (1.1 * limits));
			assertThat(fleet.refused).isNotEmpty()
				.allMatch((refuse) -> refuse.cause() == RefusalCause.ENDPOINTS_LIMITED)
				.allMatch((refuse) -> refuse.retryAfterMillis().orElseThrow() >= 100);
		}
	}

	@Test
	void highLimitIsUsed() {
		SimulatedFleet fleet = new SimulatedFleet(9, 3, 1, 60, 1);
		fleet.run(START_MILLIS);
		fleet.limit(0, 30);
		fleet.run(SETTLING_MILLIS);
		long before = fleet.nowMillis();
		fleet.run(LIMITED_MILLIS);
		assertThat(fleet.runners.get(0).maxExcess()).isNotPositive();
		assertThat(fleet.runners.get(0).arrivedSince(before)).isGreaterThan((long) (0.8 * 30 * LIMITED_MILLIS / 1000));
	}

	/** Failure: each side of a partition would use the shares of the others. */
	@Test
	void limitIsKeptWhileZonesAreCutOffAndAfterwards() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(9, 3, 3, 30, seed);
			fleet.run(START_MILLIS);
			for (int runner = 0; runner < 3; runner++) {
				fleet.limit(runner, 1);
			}
			fleet.run(SETTLING_MILLIS);
			fleet.connect(String::equals);
			fleet.run(2 * LIMITED_MILLIS);
			fleet.connect((from, to) -> true);
			fleet.run(LIMITED_MILLIS);
			assertThat(fleet.runners).allMatch((runner) -> runner.maxExcess() <= 0);
		}
	}

	/**
	 * Failure: restarted instances, which know neither the fleet nor its limits, would
	 * use the entire limit.
	 */
	@Test
	void limitIsKeptWhileInstancesRestart() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(9, 3, 3, 30, seed);
			fleet.run(START_MILLIS);
			for (int runner = 0; runner < 3; runner++) {
				fleet.limit(runner, 1);
			}
			fleet.run(SETTLING_MILLIS);
			for (int index = 0; index < 9; index++) {
				fleet.stopInstance(index);
				fleet.run(3000);
				fleet.startInstance(index);
				fleet.run(5000);
			}
			assertThat(fleet.runners).allMatch((runner) -> runner.maxExcessOfTold() <= 0);
		}
	}

	@Test
	void sharesOfLostInstancesAreUsedByOthersOfTheirZone() {
		SimulatedFleet fleet = new SimulatedFleet(9, 3, 1, 60, 1);
		fleet.run(START_MILLIS);
		fleet.limit(0, 3);
		fleet.run(SETTLING_MILLIS);
		for (int index = 3; index < 9; index++) {
			fleet.stopInstance(index);
		}
		fleet.run(2 * SETTLING_MILLIS);
		long before = fleet.nowMillis();
		fleet.run(LIMITED_MILLIS);
		assertThat(fleet.runners.get(0).maxExcess()).isNotPositive();
		assertThat(fleet.runners.get(0).arrivedSince(before)).isGreaterThan((long) (0.7 * 3 * LIMITED_MILLIS / 1000));
	}

	@Test
	void endOfALimitIsNoticedByAllInstances() {
		for (int instances : new int[] { 9, 75 }) {
			SimulatedFleet fleet = limitedFleet(instances, 3, 1);
			fleet.endLimit(0);
			fleet.run(SETTLING_MILLIS);
			long before = fleet.nowMillis();
			fleet.run(LIMITED_MILLIS);
			long total = instances * 3 * LIMITED_MILLIS / 1000;
			assertThat(fleet.runners.get(0).arrivedSince(before)).isGreaterThan(total / 5 / 2);
		}
	}

	/**
	 * Failure: requests between two limits counted against the shares of the second one,
	 * so that its end was noticed only by trials of instances without a share.
	 */
	@Test
	void endOfALimitThatIsNamedAgainSoonIsNoticedByAllInstances() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(9, 3, 3, 30, seed);
			fleet.run(START_MILLIS);
			IntStream.range(0, 3).forEach((runner) -> fleet.limit(runner, 0));
			fleet.run(LIMITED_MILLIS);
			IntStream.range(0, 3).forEach(fleet::endLimit);
			fleet.run(AGAIN_MILLIS);
			IntStream.range(0, 3).forEach((runner) -> fleet.limit(runner, 0));
			fleet.run(AGAIN_MILLIS);
			IntStream.range(0, 3).forEach(fleet::endLimit);
			fleet.run(NOTICE_MILLIS);
			int answeredBefore = fleet.answered;
			fleet.run(LIMITED_MILLIS / 10);
			assertThat(fleet.answered - answeredBefore).as("seed %s", seed).isGreaterThan(30 * 3 / 2);
			assertThat(fleet.runners).allMatch((runner) -> runner.maxExcess() <= 0);
		}
	}

	@Test
	void changedLimitIsKept() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(9, 3, 3, 30, seed);
			fleet.run(START_MILLIS);
			for (double limit : new double[] { 1, 5, 0.5, 0, 2 }) {
				fleet.limit(0, limit);
				fleet.run(LIMITED_MILLIS);
			}
			assertThat(fleet.runners.get(0).maxExcess()).isNotPositive();
		}
	}

}
