package io.mulberrylift.core.fairness;

import io.mulberrylift.core.model.WorkspaceId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link TokenAllowance}.
 */
class TokenAllowanceTests {

	private static final WorkspaceId YARD = new WorkspaceId("yard");

	private final TokenAllowance allowance = new TokenAllowance();

	@Test
	void limitIsDividedByTheNumberOfInstances() {
		assertThat(this.allowance.take(YARD, 10_000, 9_000, 9, 0)).isZero();
		assertThat(this.allowance.take(YARD, 1_000, 9_000, 9, 0)).isEqualTo(1_000);
		assertThat(this.allowance.take(YARD, 1_000, 9_000, 9, 1_000)).isZero();
	}

	@Test
	void requestAboveTheSavingPassesAndLeavesADebt() {
		assertThat(this.allowance.take(YARD, 30_000, 1_000, 1, 0)).isZero();
		assertThat(this.allowance.take(YARD, 1, 1_000, 1, 10_000)).isEqualTo(10_001);
		assertThat(this.allowance.take(YARD, 1, 1_000, 1, 20_001)).isZero();
	}

	@Test
	void zeroMeansNoLimit() {
		assertThat(this.allowance.take(YARD, Long.MAX_VALUE, 0, 1, 0)).isZero();
	}

}
