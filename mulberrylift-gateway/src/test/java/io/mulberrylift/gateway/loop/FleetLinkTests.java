package io.mulberrylift.gateway.loop;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.mulberrylift.core.forwarding.AttemptOutcome;
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

	/** Failure: as above, if channels are reset or swallow requests for seconds. */
	@Test
	void callersAreServedIfConnectionsBreakOrHang() {
		for (long millis : new long[] { 5, 3000 }) {
			SimulatedFleet fleet = new SimulatedFleet(9, 3, 24, 72, 7);
			fleet.run(START_MILLIS);
			fleet.cutOutcome = AttemptOutcome.BROKEN;
			fleet.cutOutcomeMillis = millis;
			fleet.cutInstances = instances(0, 3);
			fleet.run(CONTACT_MILLIS);
			long first = fleet.requestNumber();
			fleet.run(9000);
			assertThat(fleet.answeredShare(first, (index) -> index < 3)).as("after %d ms", millis)
				.isGreaterThanOrEqualTo(fleet.answeredShare(first, (index) -> index >= 3) * 2 / 3);
		}
	}

	@Test
	void callersOfAWholeZoneAreServedIfOnlyNewConnectionsAreRefused() {
		Set<Integer> zone = Set.of(0, 3, 6, 9, 12);
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(15, 3, 24, 72, seed);
			fleet.run(START_MILLIS);
			fleet.establishedShare = 0.15;
			fleet.cutInstances = zone;
			fleet.run(CONTACT_MILLIS);
			long first = fleet.requestNumber();
			fleet.run(9000);
			assertThat(fleet.answeredShare(first, zone::contains)).as("seed %d", seed)
				.isGreaterThanOrEqualTo(fleet.answeredShare(first, (index) -> !zone.contains(index)) * 2 / 3);
		}
	}

	@Test
	void callersAreServedInLargeFleetsIfHalfOfTheInstancesAreCut() {
		SimulatedFleet fleet = new SimulatedFleet(75, 3, 69, 150, 5);
		fleet.run(2 * START_MILLIS);
		fleet.cutInstances = instances(0, 37);
		fleet.run(CONTACT_MILLIS);
		long first = fleet.requestNumber();
		fleet.run(9000);
		assertThat(fleet.answeredShare(first, (index) -> index < 37))
			.isGreaterThanOrEqualTo(fleet.answeredShare(first, (index) -> index >= 37) * 2 / 3);
		assertThat(fleet.isWithinPeerRate()).isTrue();
	}

	@Test
	void ownLinkIsUsedAgainWithinTwoSecondsOfItsReturn() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(9, 3, 24, 72, seed);
			fleet.run(START_MILLIS);
			fleet.cutInstances = instances(0, 2);
			fleet.run(8000);
			assertThat(fleet.relayedMillis).as("seed %d", seed).isNotEmpty();
			fleet.cutInstances = Set.of();
			fleet.run(2000);
			fleet.relayedMillis.clear();
			fleet.run(8000);
			assertThat(fleet.relayedMillis).as("seed %d", seed).isEmpty();
		}
	}

	@Test
	void nothingIsHandedToPeersIfNoInstanceIsCut() {
		SimulatedFleet fleet = new SimulatedFleet(9, 3, 24, 72, 1);
		fleet.run(START_MILLIS);
		for (int round = 0; round < 5; round++) {
			fleet.endRunners(2);
			fleet.run(2500);
		}
		assertThat(fleet.relayedMillis).isEmpty();
	}

	@Test
	void callersAreRefusedWithoutDelayIfAllInstancesAreCut() {
		SimulatedFleet fleet = new SimulatedFleet(9, 3, 24, 72, 1);
		fleet.run(START_MILLIS);
		fleet.cutInstances = instances(0, 9);
		fleet.run(2 * CONTACT_MILLIS);
		int before = fleet.refused.size();
		long first = fleet.requestNumber();
		fleet.run(4000);
		long arrived = fleet.requestNumber() - first;
		assertThat(fleet.refused.subList(before, fleet.refused.size())).hasSizeGreaterThan((int) (arrived * 0.9))
			.allMatch((refuse) -> refuse.retryAfterMillis().isPresent());
		assertThat(fleet.answeredShare(first, (index) -> true)).isZero();
		fleet.cutInstances = Set.of();
		fleet.run(2500);
		first = fleet.requestNumber();
		fleet.run(4000);
		assertThat(fleet.answeredShare(first, (index) -> true)).isGreaterThan(0.95);
	}

}
