package io.mulberrylift.testkit.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;

import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;

/**
 * Applies the faults of a run to the simulated fleet.
 *
 * <p>
 * Not safe for use by several threads.
 * </p>
 */
final class FaultInjector {

	private static final int ENGINES_PER_CRASH = 5;

	private static final long VALID_VERSION = 3;

	private final FleetShape shape;

	private final SimulatedFleet fleet;

	FaultInjector(FleetShape shape, SimulatedFleet fleet) {
		this.shape = shape;
		this.fleet = fleet;
	}

	static boolean isAffected(int engine) {
		return engine % ENGINES_PER_CRASH == 0;
	}

	private int affectedEntry() {
		return this.shape.entries() % this.shape.zones().size();
	}

	void killEngines() {
		for (int i = 0; i < this.shape.engines(); i++) {
			if (isAffected(i)) {
				this.fleet.engines().get(i).crash();
			}
		}
		this.fleet.entries().forEach((entry) -> entry.breakConnections(FaultInjector::isAffected));
	}

	void restartEngines() {
		for (int i = 0; i < this.shape.engines(); i++) {
			if (isAffected(i)) {
				this.fleet.engines().get(i).restart();
			}
		}
	}

	void cutZone() {
		this.fleet.conditions().cut(this.shape.zoneOf(0));
		for (SimulatedEntry entry : this.fleet.entries()) {
			IntPredicate separated = (engine) -> !entry.canReach(engine);
			entry.breakConnections(separated);
		}
	}

	void healZones() {
		this.fleet.conditions().heal();
	}

	void publishRejectedDocument() {
		this.fleet.conditions().serveVersion(FaultConditions.REJECTED_VERSION);
	}

	void publishValidDocument() {
		this.fleet.conditions().serveVersion(VALID_VERSION);
	}

	void startSuccessor() {
		int successor = this.shape.entries();
		publishList(successor, true);
		SimulatedEntry predecessor = this.fleet.entries().get(affectedEntry());
		this.fleet.replace(affectedEntry(), successor, 1);
		predecessor.shutDown();
	}

	void removePredecessor() {
		publishList(this.shape.entries(), false);
	}

	private void publishList(int successor, boolean keepPredecessor) {
		FleetList list = this.shape.list();
		List<InstanceDescription> instances = new ArrayList<>();
		for (InstanceDescription instance : list.instances()) {
			if (!instance.id().equals(this.shape.entryId(affectedEntry()))) {
				instances.add(instance);
			}
			else if (keepPredecessor) {
				instances.add(new InstanceDescription(instance.id(), instance.zone(), instance.address(), true, 0));
			}
		}
		instances.add(new InstanceDescription(this.shape.entryId(successor), this.shape.zoneOf(successor),
				"127.0.0.1:" + (successor + 1_000), false, 0));
		FleetList current = this.fleet.conditions().list();
		this.fleet.conditions()
			.publish(new FleetList(current.version() + 1, current.publishedAtEpochMillis() + 1, instances,
					list.endpoints()));
	}

	void killInstance() {
		this.fleet.entries().get(affectedEntry()).kill();
	}

	void restartInstance() {
		this.fleet.replace(affectedEntry(), affectedEntry(), 2);
	}

}
