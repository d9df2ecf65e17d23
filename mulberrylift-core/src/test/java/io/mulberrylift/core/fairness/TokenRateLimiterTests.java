package io.mulberrylift.core.fairness;

import io.mulberrylift.core.model.WorkspaceId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link TokenRateLimiter}.
 */
class TokenRateLimiterTests {

	private static final WorkspaceId YARD = new WorkspaceId("yard");

	private final TokenRateLimiter limiter = new TokenRateLimiter();

	@Test
	void limitIsDividedByNumberOfInstances() {
		assertThat(this.limiter.tryAcquire(YARD, 10_000, 9_000, 9, 0)).isZero();
		assertThat(this.limiter.tryAcquire(YARD, 1_000, 9_000, 9, 0)).isEqualTo(1_000);
		assertThat(this.limiter.tryAcquire(YARD, 1_000, 9_000, 9, 1_000)).isZero();
	}

	@Test
	void requestLargerThanBucketIsAdmittedWhenFullAndLeavesDebt() {
		assertThat(this.limiter.tryAcquire(YARD, 30_000, 1_000, 1, 0)).isZero();
		assertThat(this.limiter.tryAcquire(YARD, 1, 1_000, 1, 10_000)).isEqualTo(10_001);
		assertThat(this.limiter.tryAcquire(YARD, 1, 1_000, 1, 20_001)).isZero();
	}

	@Test
	void zeroMeansNoLimit() {
		assertThat(this.limiter.tryAcquire(YARD, Long.MAX_VALUE, 0, 1, 0)).isZero();
	}

}
