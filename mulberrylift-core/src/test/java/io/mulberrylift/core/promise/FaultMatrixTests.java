package io.mulberrylift.core.promise;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Every fault at every step of the life of one key that two callers send at once and send
 * again later.
 */
class FaultMatrixTests {

	private static final int MAX_STEP = 45;

	private static final long[] RESEND_MILLIS = { 0, 3, 900, 4_000, 9_000 };

	private static final long TIMEOUT_MILLIS = 2_000;

	private static final long END_MILLIS = 18_000;

	@Test
	void guaranteesHoldUnderEveryFaultAtEveryStepOfOneKey() {
		List<String> broken = new ArrayList<>();
		for (Fault fault : Fault.values()) {
			int struck = 0;
			int brokenBefore = broken.size();
			for (int step = 0; step < MAX_STEP; step++) {
				VirtualFleet fleet = new VirtualFleet(step, 3, 2, 3);
				FaultPlan plan = new FaultPlan(fleet).add(step, fault);
				run(fleet);
				struck += plan.injectedCount();
				for (String found : fleet.history().violations(fleet.time().nowMillis())) {
					broken.add(fault + " at " + step + ": " + found);
				}
			}
			System.out.printf("promise: matrix %s, struck at %d of %d steps, %d broken%n", fault, struck, MAX_STEP,
					broken.size() - brokenBefore);
			assertThat(struck).as("steps at which %s struck", fault).isGreaterThan(MAX_STEP / 2);
		}
		assertThat(broken).isEmpty();
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
