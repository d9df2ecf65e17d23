package io.mulberrylift.gateway.loop;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests in virtual time which instances of a large fleet read the platform's store, how
 * soon the others know a change, and what happens when readers end or are not answered.
 * The bounds are those of the deployments: a change applies within 3 s, and at most three
 * instances of a zone read.
 */
class StoreReadersFleetTests {

	private static final long CHANGE_BOUND_MILLIS = 3000;

	/** Load: fleets of 63, 95 and 300 instances that start at the same time. */
	@ParameterizedTest
	@CsvSource({ "63, 3", "95, 5", "300, 12" })
	void fewInstancesReadTheStoreAndAllKnowAChangeInTime(int instances, int zones) {
		SimulatedStoreFleet fleet = new SimulatedStoreFleet(instances, zones, 1);
		fleet.run(25_000);
		assertThat(fleet.readers()).isLessThanOrEqualTo(3 * zones);
		for (int change = 0; change < 5; change++) {
			long revision = fleet.changeStore();
			fleet.run(CHANGE_BOUND_MILLIS);
			assertThat(fleet.instancesBehind(revision)).isZero();
		}
	}

	/** Load: small fleets, where every instance reads for itself. */
	@Test
	void everyInstanceOfASmallFleetReads() {
		SimulatedStoreFleet fleet = new SimulatedStoreFleet(9, 3, 2);
		fleet.run(10_000);
		assertThat(fleet.readers()).isEqualTo(9);
	}

	/** Failure: all readers of a zone are killed in the moment before a change. */
	@ParameterizedTest
	@CsvSource({ "63, 3, 3", "95, 5, 4" })
	void changeIsKnownInTimeWhenAllReadersOfAZoneEnd(int instances, int zones, int seed) {
		SimulatedStoreFleet fleet = new SimulatedStoreFleet(instances, zones, seed);
		fleet.run(25_000);
		fleet.endReaders(0);
		long revision = fleet.changeStore();
		fleet.run(CHANGE_BOUND_MILLIS);
		assertThat(fleet.instancesBehind(revision)).isZero();
		fleet.run(5000);
		assertThat(fleet.readers()).isBetween(3 * zones - 2, 3 * zones);
	}

	/** Failure: the store turns a third of the machines away, readers among them. */
	@ParameterizedTest
	@CsvSource({ "95, 5, 5", "95, 5, 6", "300, 12, 7" })
	void changeIsKnownInTimeWhileTheStoreTurnsAThirdAway(int instances, int zones, int seed) {
		SimulatedStoreFleet fleet = new SimulatedStoreFleet(instances, zones, seed);
		fleet.run(25_000);
		fleet.turnAway((index) -> index % 3 == 0);
		fleet.run(1000);
		for (int change = 0; change < 3; change++) {
			long revision = fleet.changeStore();
			fleet.run(CHANGE_BOUND_MILLIS);
			assertThat(fleet.instancesBehind(revision)).isZero();
		}
	}

	/** Failure: the store is away for all, changes, and answers again. */
	@Test
	void changeIsKnownInTimeAfterAnOutageOfTheStore() {
		SimulatedStoreFleet fleet = new SimulatedStoreFleet(95, 5, 8);
		fleet.run(25_000);
		fleet.turnAway((index) -> true);
		fleet.run(12_000);
		long revision = fleet.changeStore();
		fleet.turnAway((index) -> false);
		fleet.run(CHANGE_BOUND_MILLIS);
		assertThat(fleet.instancesBehind(revision)).isZero();
		fleet.run(8000);
		assertThat(fleet.readers()).isLessThanOrEqualTo(15);
	}

	/** Failure: a zone is cut off from the others and from the store, and joins again. */
	@Test
	void zoneThatWasCutOffKnowsTheChangeInTimeAfterItsReturn() {
		SimulatedStoreFleet fleet = new SimulatedStoreFleet(95, 5, 9);
		fleet.run(25_000);
		fleet.cutZone(0, true);
		fleet.run(8000);
		long revision = fleet.changeStore();
		fleet.run(CHANGE_BOUND_MILLIS);
		assertThat(fleet.instancesBehind(revision)).isEqualTo(19);
		fleet.cutZone(0, false);
		fleet.run(CHANGE_BOUND_MILLIS);
		assertThat(fleet.instancesBehind(revision)).isZero();
	}

}
