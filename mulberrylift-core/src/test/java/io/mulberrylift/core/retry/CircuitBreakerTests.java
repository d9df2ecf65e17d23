package io.mulberrylift.core.retry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CircuitBreaker}.
 */
class CircuitBreakerTests {

	private final CircuitBreaker breaker = new CircuitBreaker();

	@Test
	void opensAfterThreeFailuresInARow() {
		this.breaker.failed(0);
		this.breaker.failed(0);
		assertThat(this.breaker.allows(0)).isTrue();
		this.breaker.failed(0);
		assertThat(this.breaker.allows(0)).isFalse();
	}

	@Test
	void successBetweenFailuresKeepsItClosed() {
		this.breaker.failed(0);
		this.breaker.failed(0);
		this.breaker.succeeded();
		this.breaker.failed(0);
		assertThat(this.breaker.isClosed()).isTrue();
	}

	@Test
	void allowsOneProbeAtATime() {
		this.breaker.unreachable(0);
		assertThat(this.breaker.allows(499)).isFalse();
		assertThat(this.breaker.allows(500)).isTrue();
		this.breaker.sent();
		assertThat(this.breaker.allows(500)).isFalse();
		this.breaker.succeeded();
		assertThat(this.breaker.allows(500)).isTrue();
	}

	@Test
	void openPeriodDoublesAfterFailedProbe() {
		this.breaker.unreachable(0);
		this.breaker.sent();
		this.breaker.failed(500);
		assertThat(this.breaker.allows(1_499)).isFalse();
		assertThat(this.breaker.allows(1_500)).isTrue();
	}

	@Test
	void inconclusiveProbeAllowsAnother() {
		this.breaker.unreachable(0);
		this.breaker.sent();
		this.breaker.inconclusive();
		assertThat(this.breaker.allows(500)).isTrue();
	}

}
