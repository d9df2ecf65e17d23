package io.mulberrylift.core.promise;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the guarantees hold under every fault and every pair of faults at any steps,
 * as checked from the recorded history.
 */
class GuaranteePropertyTests {

	private static final long LOAD_MILLIS = 9_000;

	private static final long END_MILLIS = 24_000;

	private static final int MAX_STEP = 400;

	@Property(tries = 250, seed = "20261203")
	void guaranteesHoldUnderOneFaultAtAnyStep(@ForAll Fault fault, @ForAll @IntRange(max = MAX_STEP) int step,
			@ForAll @LongRange(max = 1_000_000) long seed) {
		VirtualFleet fleet = new VirtualFleet(seed, 3, 2, 4);
		new FaultPlan(fleet).add(step, fault);
		run(fleet);
		assertThat(fleet.history().violations(fleet.time().nowMillis())).as("%s at %d", fault, step).isEmpty();
	}

	@Property(tries = 250, seed = "20261204")
	void guaranteesHoldUnderTwoFaultsAtAnySteps(@ForAll Fault first, @ForAll @IntRange(max = MAX_STEP) int firstStep,
			@ForAll Fault second, @ForAll @IntRange(max = MAX_STEP) int secondStep,
			@ForAll @LongRange(max = 1_000_000) long seed) {
		VirtualFleet fleet = new VirtualFleet(seed, 3, 3, 4);
		new FaultPlan(fleet).add(firstStep, first).add(secondStep, second);
		run(fleet);
		assertThat(fleet.history().violations(fleet.time().nowMillis()))
			.as("%s at %d and %s at %d", first, firstStep, second, secondStep)
			.isEmpty();
	}

	@Property(tries = 60, seed = "20261205")
	void guaranteesHoldWithOneZone(@ForAll Fault first, @ForAll @IntRange(max = MAX_STEP) int firstStep,
			@ForAll Fault second, @ForAll @IntRange(max = MAX_STEP) int secondStep,
			@ForAll @LongRange(max = 1_000_000) long seed) {
		VirtualFleet fleet = new VirtualFleet(seed, 1, 3, 3);
		new FaultPlan(fleet).add(firstStep, first).add(secondStep, second);
		run(fleet);
		assertThat(fleet.history().violations(fleet.time().nowMillis()))
			.as("%s at %d and %s at %d", first, firstStep, second, secondStep)
			.isEmpty();
	}

	static void run(VirtualFleet fleet) {
		fleet.time().runFor(VirtualFleet.WARM_UP_MILLIS + 2_000);
		VirtualLoad.start(fleet, LOAD_MILLIS, 150);
		fleet.time().runFor(LOAD_MILLIS + END_MILLIS);
	}

}
