package io.mulberrylift.core.placement;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class ObservedFirstTokensTests {

	private final ObservedFirstTokens tokens = new ObservedFirstTokens();

	private void observe(int count, double ratio) {
		for (int index = 0; index < count; index++) {
			this.tokens.record("s", 8, 1000 * this.tokens.factor("s", 8), 1000 * ratio);
		}
	}

	@Test
	void factorApproachesTheObservedRatio() {
		observe(30, 2);
		assertThat(this.tokens.factor("s", 8)).isCloseTo(2, within(0.05));
		assertThat(this.tokens.factor("s", 1)).isEqualTo(1);
		assertThat(this.tokens.factor("other", 8)).isEqualTo(1);
	}

	@Test
	void factorStaysWithinItsLimits() {
		observe(100, 50);
		assertThat(this.tokens.factor("s", 8)).isCloseTo(3, within(0.01));
		observe(100, 0.01);
		assertThat(this.tokens.factor("s", 8)).isEqualTo(1);
	}

	/** Failure: a burst that delayed all prompts has ended long ago. */
	@Test
	void factorReturnsToOneWhileNothingIsObserved() {
		observe(30, 2);
		this.tokens.setNow(60_000);
		assertThat(this.tokens.factor("s", 8)).isLessThan(1.05);
	}

}
