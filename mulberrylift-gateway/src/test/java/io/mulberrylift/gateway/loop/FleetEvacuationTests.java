package io.mulberrylift.gateway.loop;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.mulberrylift.core.forwarding.GatewayTerms;
import io.mulberrylift.core.forwarding.RefusalCause;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Evacuations of zones in whole fleets in virtual time, of which only some instances read
 * the store.
 */
class FleetEvacuationTests {

	/** Bound of the deployments that state one. */
	private static final long EVACUATION_MILLIS = 5000;

	private static final GatewayTerms TERMS = new GatewayTerms(Optional.empty(), Optional.of(EVACUATION_MILLIS),
			Map.of());

	private static final long START_MILLIS = 5000;

	private static final long LOAD_MILLIS = 8000;

	private static final String EVACUATED = "zone-1";

	private static SimulatedFleet fleet(int instances, long seed) {
		SimulatedFleet fleet = new SimulatedFleet(instances, 3, 9, 3 * instances, seed, TERMS, Optional.empty());
		fleet.run(START_MILLIS);
		return fleet;
	}

	private static List<SimulatedRunner> runners(SimulatedFleet fleet, String zone) {
		return fleet.runners.stream().filter((runner) -> runner.endpoint.zone().equals(zone)).toList();
	}

	/**
	 * Failure: the store is away right after it answered a single instance, so that all
	 * others have to learn of the evacuation from peers.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 9, 75, 300 })
	void evacuationReadByOneInstanceReachesAllWithinTheBound(int instances) {
		for (long seed = 1; seed <= ((instances > 75) ? 1 : 2); seed++) {
			SimulatedFleet fleet = fleet(instances, seed);
			fleet.readEvacuations(0, 7, EVACUATED);
			fleet.run(EVACUATION_MILLIS - 500);
			assertThat(fleet.instancesThatKnowEvacuated(EVACUATED)).isEqualTo(instances);
			long before = fleet.nowMillis();
			fleet.run(LOAD_MILLIS);
			assertThat(runners(fleet, EVACUATED)).allMatch((runner) -> runner.arrivedSince(before) == 0);
			assertThat(fleet.instancesThatKnowEvacuated(EVACUATED)).isEqualTo(instances);
		}
	}

	/**
	 * Load: a fleet of 75 instances in which three instances per zone read the store, as
	 * {@code StoreReaderChoice} chooses them.
	 */
	@Test
	void evacuationReadByThreeInstancesPerZoneReachesSeventyFiveWithinTwoSeconds() {
		for (long seed = 1; seed <= 3; seed++) {
			SimulatedFleet fleet = fleet(75, seed);
			for (int reader = 0; reader < 9; reader++) {
				fleet.readEvacuations(reader, 7, EVACUATED);
			}
			fleet.run(2000);
			assertThat(fleet.instancesThatKnowEvacuated(EVACUATED)).isEqualTo(75);
		}
	}

	/**
	 * Failure: an instance that the store answered before the evacuation, or that was cut
	 * off since, tells its view after the others know the evacuation.
	 */
	@Test
	void olderViewDoesNotRevertAnEvacuationOrItsEnd() {
		SimulatedFleet fleet = fleet(75, 2);
		for (int reader = 0; reader < 9; reader++) {
			fleet.readEvacuations(reader, 7, EVACUATED);
		}
		fleet.run(EVACUATION_MILLIS);
		for (int reader = 0; reader < 9; reader++) {
			fleet.readEvacuations(reader, 6);
		}
		fleet.run(EVACUATION_MILLIS);
		assertThat(fleet.instancesThatKnowEvacuated(EVACUATED)).isEqualTo(75);
		fleet.readEvacuations(3, 9);
		fleet.run(EVACUATION_MILLIS);
		fleet.readEvacuations(4, 8, EVACUATED);
		fleet.run(EVACUATION_MILLIS);
		assertThat(fleet.instancesThatKnowEvacuated()).isEqualTo(75);
	}

	/**
	 * Failure: an instance starts after the store has gone away and could only know the
	 * evacuation from the store.
	 */
	@Test
	void instanceThatStartsWhileTheStoreIsAwayLearnsOfTheEvacuationFromItsPeers() {
		SimulatedFleet fleet = fleet(75, 3);
		fleet.readEvacuations(0, 7, EVACUATED);
		fleet.run(EVACUATION_MILLIS);
		fleet.startInstance(40);
		fleet.run(EVACUATION_MILLIS);
		assertThat(fleet.instancesThatKnowEvacuated(EVACUATED)).isEqualTo(75);
	}

	/** Load: one of three zones is evacuated while all instances get requests. */
	@Test
	void otherZonesServeTheLoadOfAnEvacuatedZoneWithoutARefusal() {
		SimulatedFleet fleet = fleet(9, 4);
		fleet.readEvacuations(0, 7, EVACUATED);
		fleet.run(EVACUATION_MILLIS);
		long before = fleet.nowMillis();
		long request = fleet.requestNumber();
		fleet.run(LOAD_MILLIS);
		assertThat(fleet.refused).isEmpty();
		assertThat(fleet.answeredShare(request, (instance) -> true)).isGreaterThan(0.99);
		assertThat(runners(fleet, EVACUATED)).allMatch((runner) -> runner.arrivedSince(before) == 0);
		assertThat(runners(fleet, "zone-0")).allMatch((runner) -> runner.arrivedSince(before) > 0);
		assertThat(runners(fleet, "zone-2")).allMatch((runner) -> runner.arrivedSince(before) > 0);
		long back = fleet.nowMillis();
		fleet.readEvacuations(0, 8);
		fleet.run(LOAD_MILLIS);
		assertThat(runners(fleet, EVACUATED)).allMatch((runner) -> runner.arrivedSince(back) > 0);
	}

	/** Failure: all zones are evacuated, and requests would break the bound. */
	@Test
	void requestsAreRefusedAtOnceWithATimeToReturnIfAllZonesAreEvacuated() {
		SimulatedFleet fleet = fleet(9, 5);
		fleet.readEvacuations(0, 7, "zone-0", "zone-1", "zone-2");
		fleet.run(EVACUATION_MILLIS);
		long before = fleet.nowMillis();
		fleet.refused.clear();
		fleet.run(LOAD_MILLIS);
		assertThat(fleet.runners).allMatch((runner) -> runner.arrivedSince(before) == 0);
		assertThat(fleet.refused).isNotEmpty()
			.allMatch((refuse) -> refuse.cause() == RefusalCause.NO_ENDPOINT)
			.allMatch((refuse) -> refuse.retryAfterMillis().isPresent());
	}

}
