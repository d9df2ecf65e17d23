package io.mulberrylift.testkit.engine;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EngineClock}.
 */
class EngineClockTests {

	private long nowNanos = 5_000_000;

	private final EngineClock clock = new EngineClock(10, () -> this.nowNanos);

	@Test
	void modelTimeIsScaledRealTime() {
		this.nowNanos += 3_000_000;
		assertThat(this.clock.micros()).isEqualTo(30_000);
		assertThat(this.clock.toRealNanos(30_000)).isEqualTo(3_000_000);
		assertThat(this.clock.toModelMicros(3)).isEqualTo(30_000);
		assertThat(this.clock.toRealMillis(30_000)).isEqualTo(3);
	}

	@Test
	void frozenTimeDoesNotAdvanceAndIsNotCaughtUp() {
		this.clock.setFrozen(true);
		this.nowNanos += 3_000_000;
		assertThat(this.clock.micros()).isZero();
		this.clock.setFrozen(false);
		assertThat(this.clock.micros()).isZero();
		this.nowNanos += 1_000_000;
		assertThat(this.clock.micros()).isEqualTo(10_000);
	}

}
