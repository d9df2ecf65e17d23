package io.mulberrylift.core.isolation;

import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.SuspectNotice;
import io.mulberrylift.core.time.Moment;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CrashGuardPart}.
 */
class CrashGuardPartTests {

	private static final long CRASHER = 1;

	private static final long UNRELATED = 2;

	private static final EndpointId FIRST = new EndpointId("e1");

	private static final EndpointId SECOND = new EndpointId("e2");

	private static final EndpointId THIRD = new EndpointId("e3");

	private static final Moment NOW = new Moment(1_000, 1_000);

	private final Effects effects = new Effects();

	private final CrashGuardPart guard = new CrashGuardPart(
			new FleetState(new InstanceIdentity(new InstanceId("a1"), new ZoneId("a"), 1)));

	@Test
	void brokenConnectionAloneDoesNotCauseSuspicion() {
		breakConnection(1, CRASHER, FIRST);
		assertThat(this.guard.classify(CRASHER)).isEqualTo(CrashClassification.CLEAR);
	}

	@Test
	void connectionBrokenLongBeforeLossIsNotCounted() {
		breakConnection(1, CRASHER, FIRST);
		this.guard.tick(NOW.plusMillis(BrokenAttempts.RETENTION_MILLIS + 1), this.effects);
		this.guard.endpointLost(FIRST, NOW.plusMillis(BrokenAttempts.RETENTION_MILLIS + 1), this.effects);
		assertThat(this.guard.classify(CRASHER)).isEqualTo(CrashClassification.CLEAR);
	}

	@Test
	void connectionBrokenAfterKnownLossIsCounted() {
		this.guard.attemptStarted(1, CRASHER, FIRST);
		this.guard.endpointLost(FIRST, NOW, this.effects);
		this.guard.attemptEnded(1, true, NOW.plusMillis(100), this.effects);
		assertThat(this.guard.classify(CRASHER)).isEqualTo(CrashClassification.SUSPECTED);
	}

	@Test
	void secondLossQuarantinesRequestAndClearsOthersOfFirstLoss() {
		this.guard.attemptStarted(1, CRASHER, FIRST);
		this.guard.attemptStarted(2, UNRELATED, FIRST);
		this.guard.attemptEnded(1, true, NOW, this.effects);
		this.guard.attemptEnded(2, true, NOW, this.effects);
		this.guard.endpointLost(FIRST, NOW, this.effects);
		assertThat(this.guard.classify(CRASHER)).isEqualTo(CrashClassification.SUSPECTED);
		assertThat(this.guard.classify(UNRELATED)).isEqualTo(CrashClassification.SUSPECTED);
		breakConnection(3, CRASHER, SECOND);
		this.guard.endpointLost(SECOND, NOW, this.effects);
		assertThat(this.guard.classify(CRASHER)).isEqualTo(CrashClassification.CONVICTED);
		assertThat(this.guard.classify(UNRELATED)).isEqualTo(CrashClassification.CLEAR);
	}

	@Test
	void sameProcessCountsOnce() {
		SuspectNotice notice = new SuspectNotice(CRASHER, FIRST, 4, false, true);
		this.guard.received(notice, NOW, this.effects);
		this.guard.received(notice, NOW, this.effects);
		assertThat(this.guard.classify(CRASHER)).isEqualTo(CrashClassification.SUSPECTED);
		this.guard.received(new SuspectNotice(CRASHER, FIRST, 5, true, true), NOW, this.effects);
		assertThat(this.guard.classify(CRASHER)).isEqualTo(CrashClassification.CONVICTED);
	}

	@Test
	void thirdEndpointIsNotExposed() {
		this.guard.attemptStarted(1, CRASHER, FIRST);
		breakConnection(2, CRASHER, SECOND);
		assertThat(this.guard.mayStart(CRASHER, THIRD, NOW)).isFalse();
		assertThat(this.guard.mayStart(CRASHER, FIRST, NOW)).isTrue();
		assertThat(this.guard.mayStart(UNRELATED, THIRD, NOW)).isTrue();
	}

	@Test
	void suspectRunsOnOneEndpointAtATime() {
		this.guard.received(new SuspectNotice(CRASHER, FIRST, 4, false, true), NOW, this.effects);
		assertThat(this.guard.mayStart(CRASHER, SECOND, NOW)).isTrue();
		this.guard.attemptStarted(1, CRASHER, SECOND);
		assertThat(this.guard.mayStart(CRASHER, SECOND, NOW)).isFalse();
		assertThat(this.guard.mayStart(CRASHER, THIRD, NOW)).isFalse();
		this.guard.attemptEnded(1, false, NOW, this.effects);
		assertThat(this.guard.mayStart(CRASHER, THIRD, NOW)).isTrue();
	}

	private void breakConnection(long attemptId, long fingerprint, EndpointId endpoint) {
		this.guard.attemptStarted(attemptId, fingerprint, endpoint);
		this.guard.attemptEnded(attemptId, true, NOW, this.effects);
	}

}
