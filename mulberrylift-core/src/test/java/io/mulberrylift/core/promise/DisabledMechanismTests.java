package io.mulberrylift.core.promise;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

import io.mulberrylift.core.peer.PeerMessage;
import io.mulberrylift.core.peer.WitnessMessage;
import io.mulberrylift.core.peer.WitnessMessage.Decision;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the checks of the recorded history find violations when a mechanism is
 * disabled by changing its messages in transit. Without these tests, checks that never
 * fail would go unnoticed.
 */
class DisabledMechanismTests {

	private static final int RUNS = 40;

	private static final int MAX_STEP = 400;

	@Test
	void keysRunTwiceWhenSeatsGrantHeldKeys() {
		assertThat(runsWithViolations(turnIntoGrant(Decision.RUNNING), Fault.LOSSY, Fault.KILL)).isPositive();
	}

	@Test
	void keysRunTwiceWhenSeatsGrantKeysBelowTheirFloor() {
		assertThat(runsWithViolations(turnIntoGrant(Decision.ABSTAINED), Fault.RESTART, Fault.RESTART)).isPositive();
	}

	@Test
	void keysRunTwiceWhenInstancesGrantWithoutAuthority() {
		assertThat(runsWithViolations(turnIntoGrant(Decision.NO_AUTHORITY), Fault.DROP_UNSEEN, Fault.SLOW))
			.isPositive();
	}

	@Test
	void keysRunTwiceWhenHandoversCarryNoGrants() {
		assertThat(runsWithViolations(DisabledMechanismTests::withoutGrants, Fault.REPLACE_ALL, Fault.KILL))
			.isPositive();
	}

	@Test
	void nothingIsViolatedWithAllMechanismsEnabled() {
		assertThat(runsWithViolations(UnaryOperator.identity(), Fault.REPLACE_ALL, Fault.KILL)).isZero();
		assertThat(runsWithViolations(UnaryOperator.identity(), Fault.RESTART, Fault.RESTART)).isZero();
		assertThat(runsWithViolations(UnaryOperator.identity(), Fault.DROP_UNSEEN, Fault.SLOW)).isZero();
		assertThat(runsWithViolations(UnaryOperator.identity(), Fault.LOSSY, Fault.KILL)).isZero();
	}

	private static long runsWithViolations(UnaryOperator<PeerMessage> interceptor, Fault first, Fault second) {
		SplittableRandom random = new SplittableRandom(20_261_203);
		long violated = 0;
		for (int i = 0; i < RUNS; i++) {
			VirtualFleet fleet = new VirtualFleet(random.nextLong(), 3, 2, 4);
			fleet.network().setInterceptor(interceptor);
			new FaultPlan(fleet).add(random.nextInt(MAX_STEP), first).add(random.nextInt(MAX_STEP), second);
			GuaranteePropertyTests.run(fleet);
			violated += fleet.history().violations(fleet.time().nowMillis()).isEmpty() ? 0 : 1;
		}
		System.out.printf("promise: %s and %s, %d of %d runs with violations%n", first, second, violated, RUNS);
		return violated;
	}

	private static UnaryOperator<PeerMessage> turnIntoGrant(Decision replacedDecision) {
		return (message) -> {
			boolean changed = message instanceof WitnessMessage.Verdict verdict
					&& verdict.verdict() == replacedDecision;
			return changed ? granted((WitnessMessage.Verdict) message) : message;
		};
	}

	private static PeerMessage granted(WitnessMessage.Verdict verdict) {
		return new WitnessMessage.Verdict(verdict.seat(), verdict.claim(), Decision.GRANTED, Optional.empty(),
				Optional.empty());
	}

	private static PeerMessage withoutGrants(PeerMessage message) {
		if (message instanceof WitnessMessage.Handover handover) {
			return new WitnessMessage.Handover(handover.seat(), handover.heirIncarnation(),
					handover.resignedEpochMillis(), handover.sinceEpochMillis(), handover.part(), handover.parts(),
					List.of());
		}
		return message;
	}

}
