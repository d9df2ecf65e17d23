package io.mulberrylift.core.promise;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Injects every fault at every step of the processing of one idempotency key that two
 * callers send at nearly the same time and send again later.
 */
class FaultMatrixTests {

	private static final int MAX_STEP = 45;

	private static final long[] RESEND_MILLIS = { 0, 3, 900, 4_000, 9_000 };

	private static final long TIMEOUT_MILLIS = 2_000;

	private static final long END_MILLIS = 18_000;

	@Test
	void guaranteesHoldUnderEveryFaultAtEveryStepOfOneKey() {
		List<String> violations = new ArrayList<>();
		for (Fault fault : Fault.values()) {
			int injected = 0;
			int violationsBefore = violations.size();
			for (int step = 0; step < MAX_STEP; step++) {
				VirtualFleet fleet = new VirtualFleet(step, 3, 2, 3);
				FaultPlan plan = new FaultPlan(fleet).add(step, fault);
				run(fleet);
				injected += plan.injectedCount();
				for (String found : fleet.history().violations(fleet.time().nowMillis())) {
					violations.add(fault + " at " + step + ": " + found);
				}
			}
			System.out.printf("promise: matrix %s, injected at %d of %d steps, %d violations%n", fault, injected,
					MAX_STEP, violations.size() - violationsBefore);
			assertThat(injected).as("steps at which %s was injected", fault).isGreaterThan(MAX_STEP / 2);
		}
		assertThat(violations).isEmpty();
	}

	private static void run(VirtualFleet fleet) {
		fleet.time().runFor(VirtualFleet.WARM_UP_MILLIS + 2_000);
		VirtualCaller.Work work = new VirtualCaller.Work("key", 1, fleet.time().nowMillis(), TIMEOUT_MILLIS, 3, false);
		for (long delayMillis : RESEND_MILLIS) {
			fleet.time().schedule(delayMillis, () -> fleet.caller().send(work));
		}
		fleet.time().runFor(END_MILLIS);
	}

}
