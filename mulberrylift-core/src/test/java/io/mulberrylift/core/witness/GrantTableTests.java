package io.mulberrylift.core.witness;

import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.configuration.IdempotencySettings;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.core.peer.WitnessMessage.ClaimId;
import io.mulberrylift.core.peer.WitnessMessage.Grant;
import io.mulberrylift.core.peer.WitnessMessage.KeyId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GrantTable}.
 */
class GrantTableTests {

	private static final long WINDOW_MILLIS = 60_000;

	private static final long SKEW_MILLIS = 500;

	private final IdempotencySettings settings = new IdempotencySettings(WINDOW_MILLIS, 10, 2, SKEW_MILLIS, 10_000);

	private final GrantTable table = new GrantTable();

	@Test
	void releaseByAnotherClaimKeepsTheGrant() {
		this.table.grant(key("k", 0), 1, claim(1));
		this.table.release(key("k", 0), claim(2), 0);
		assertThat(this.table.find(key("k", 0))).map(Grant::claim).contains(claim(1));
	}

	@Test
	void releaseThatArrivesBeforeItsClaimIsRecorded() {
		this.table.release(key("k", 0), claim(1), 0);
		assertThat(this.table.isReleased(claim(1))).isTrue();
		assertThat(this.table.isReleased(claim(2))).isFalse();
	}

	@Test
	void completedGrantIsNotReleased() {
		this.table.grant(key("k", 0), 1, claim(1));
		this.table.recordResult(key("k", 0), 1, claim(1), Optional.empty(), this.settings);
		this.table.release(key("k", 0), claim(1), 0);
		assertThat(this.table.find(key("k", 0))).isPresent();
	}

	@Test
	void resultReplacesTheGrantOfAnotherClaim() {
		this.table.grant(key("k", 0), 1, claim(1));
		this.table.recordResult(key("k", 0), 2, claim(2), Optional.of(answer(3)), this.settings);
		assertThat(this.table.find(key("k", 0))).map(Grant::claim).contains(claim(2));
	}

	@Test
	void grantIsRemovedOnlyWhenNoClockAcceptsItsKey() {
		this.table.grant(key("k", 1_000), 1, claim(1));
		long last = 1_000 + WINDOW_MILLIS + 2 * SKEW_MILLIS;
		this.table.removeExpired(this.settings, last, 0);
		assertThat(this.table.size()).isEqualTo(1);
		this.table.removeExpired(this.settings, last + 1, 0);
		assertThat(this.table.size()).isZero();
	}

	@Test
	void oldestAnswersAreDroppedAndTheirGrantsKept() {
		this.table.recordResult(key("k", 0), 1, claim(1), Optional.of(answer(6)), this.settings);
		this.table.recordResult(key("l", 0), 2, claim(2), Optional.of(answer(6)), this.settings);
		assertThat(this.table.find(key("k", 0)).flatMap(Grant::answer)).isEmpty();
		assertThat(this.table.find(key("l", 0)).flatMap(Grant::answer)).isPresent();
		assertThat(this.table.size()).isEqualTo(2);
		assertThat(this.table.answerBytes()).isEqualTo(6);
	}

	@Test
	void fullTableRemovesNothing() {
		this.table.grant(key("k", 0), 1, claim(1));
		this.table.grant(key("l", 0), 2, claim(2));
		assertThat(this.table.isFull(this.settings)).isTrue();
		this.table.recordResult(key("m", 0), 3, claim(3), Optional.empty(), this.settings);
		assertThat(this.table.find(key("m", 0))).isEmpty();
		assertThat(this.table.size()).isEqualTo(2);
	}

	@Test
	void mergedGrantOfAReleasedClaimIsDropped() {
		this.table.release(key("k", 0), claim(1), 0);
		Grant released = new Grant(key("k", 0), 1, claim(1), false, Optional.empty());
		Grant running = new Grant(key("l", 0), 2, claim(2), false, Optional.empty());
		this.table.merge(List.of(released, running), this.settings);
		assertThat(this.table.find(key("k", 0))).isEmpty();
		assertThat(this.table.find(key("l", 0))).contains(running);
	}

	@Test
	void mergedGrantDoesNotReplaceARecordedResult() {
		this.table.recordResult(key("k", 0), 1, claim(1), Optional.of(answer(1)), this.settings);
		this.table.merge(List.of(new Grant(key("k", 0), 1, claim(1), false, Optional.empty())), this.settings);
		assertThat(this.table.find(key("k", 0))).map(Grant::settled).contains(true);
	}

	private static KeyId key(String value, long firstSentEpochMillis) {
		return new KeyId("w", value, firstSentEpochMillis);
	}

	private static ClaimId claim(long sequence) {
		return new ClaimId(new InstanceId("a1"), 1, sequence);
	}

	private static StoredAnswer answer(int sizeBytes) {
		return new StoredAnswer(200, "text/plain", new byte[sizeBytes]);
	}

}
