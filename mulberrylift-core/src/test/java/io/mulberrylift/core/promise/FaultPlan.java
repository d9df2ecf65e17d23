package io.mulberrylift.core.promise;

import java.util.HashMap;
import java.util.Map;

import io.mulberrylift.core.effect.Effect;

/**
 * Injects faults when the fleet reaches given steps. A step is an effect by which an
 * instance sends a message other than a heartbeat, dispatches an attempt or answers a
 * caller.
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
		boolean loadStarted = this.fleet.history().sends() > 0;
		if (!loadStarted || !VirtualFleet.isStep(effect)) {
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
		return this.injectedCount + " faults injected in " + this.stepCount + " steps";
	}

}
