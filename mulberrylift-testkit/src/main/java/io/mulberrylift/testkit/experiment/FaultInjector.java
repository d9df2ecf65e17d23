package io.mulberrylift.testkit.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;

import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;

/**
 * Acts on the simulated fleet for the faults of a run.
 *
 * <p>
 * Not safe for use by several threads.
 * </p>
 */
final class FaultInjector {

	private static final int ENGINES_PER_DEATH = 5;

	private static final long GOOD_VERSION = 3;

	private final FleetShape shape;

	private final SimulatedFleet fleet;

	FaultInjector(FleetShape shape, SimulatedFleet fleet) {
		this.shape = shape;
		this.fleet = fleet;
	}

	static boolean dies(int engine) {
		return engine % ENGINES_PER_DEATH == 0;
	}

	private int victim() {
		return this.shape.entries() % this.shape.zones().size();
	}

	void killEngines() {
		for (int i = 0; i < this.shape.engines(); i++) {
			if (dies(i)) {
				this.fleet.engines().get(i).die();
			}
		}
		this.fleet.entries().forEach((entry) -> entry.loseConnections(FaultInjector::dies));
	}

	void startEngines() {
		for (int i = 0; i < this.shape.engines(); i++) {
			if (dies(i)) {
				this.fleet.engines().get(i).restart();
			}
		}
	}

	void cutZone() {
		this.fleet.conditions().cut(this.shape.zoneOf(0));
		for (SimulatedEntry entry : this.fleet.entries()) {
			IntPredicate separated = (engine) -> !entry.reaches(engine);
			entry.loseConnections(separated);
		}
	}

	void joinZones() {
		this.fleet.conditions().join();
	}

	void publishRejectedDocument() {
		this.fleet.conditions().serve(FaultConditions.REJECTED_VERSION);
	}

	void publishGoodDocument() {
		this.fleet.conditions().serve(GOOD_VERSION);
	}

	void startSuccessor() {
		int successor = this.shape.entries();
		publishList(successor, true);
		SimulatedEntry old = this.fleet.entries().get(victim());
		this.fleet.replace(victim(), successor, 1);
		old.shutDown();
	}

	void dropPredecessor() {
		publishList(this.shape.entries(), false);
	}

	private void publishList(int successor, boolean keepsOld) {
		FleetList list = this.shape.list();
		List<InstanceDescription> instances = new ArrayList<>();
		for (InstanceDescription instance : list.instances()) {
			if (!instance.id().equals(this.shape.entryId(victim()))) {
				instances.add(instance);
			}
			else if (keepsOld) {
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
		this.fleet.entries().get(victim()).kill();
	}

	void restartInstance() {
		this.fleet.replace(victim(), victim(), 2);
	}

}
