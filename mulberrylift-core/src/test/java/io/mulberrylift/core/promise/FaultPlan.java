package io.mulberrylift.core.promise;

import java.util.HashMap;
import java.util.Map;

import io.mulberrylift.core.effect.Effect;

/**
 * Strikes with faults when the fleet reaches given steps. A step is an effect by which an
 * instance sends a message other than a heartbeat, sends work or answers.
 */
final class FaultPlan {

	private final VirtualFleet fleet;

	private final Map<Integer, Fault> faults = new HashMap<>();

	private int stepCount;

	private int injectedCount;

	FaultPlan(VirtualFleet fleet) {
		this.fleet = fleet;
		fleet.setObserver(this::observe);
	}

	FaultPlan add(int step, Fault fault) {
		this.faults.merge(step, fault, (known, added) -> added);
		return this;
	}

	private void observe(VirtualInstance instance, Effect effect) {
		boolean loaded = this.fleet.history().sends() > 0;
		if (!loaded || !VirtualFleet.isStep(effect)) {
			return;
		}
		Fault fault = this.faults.remove(this.stepCount++);
		if (fault != null && instance.isAlive()) {
			this.injectedCount++;
			fault.inject(this.fleet, instance);
		}
	}

	int injectedCount() {
		return this.injectedCount;
	}

	@Override
	public String toString() {
		return this.injectedCount + " struck in " + this.stepCount + " steps";
	}

}
