package io.mulberrylift.core.fairness;

import io.mulberrylift.core.model.WorkspaceId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link FairShare}.
 */
class FairShareTests {

	private static final WorkspaceId LARGE = new WorkspaceId("large");

	private static final WorkspaceId SMALL = new WorkspaceId("small");

	private final FairShare shares = new FairShare();

	@Test
	void leadIsWeightedAndDecays() {
		this.shares.charge(LARGE, 2, 10_000, 0);
		this.shares.charge(SMALL, 1, 1_000, 0);
		assertThat(this.shares.leadTokens(LARGE)).isEqualTo(4_000);
		assertThat(this.shares.leadTokens(SMALL)).isZero();
		this.shares.charge(SMALL, 1, 0, 20_000);
		assertThat(this.shares.leadTokens(LARGE)).isCloseTo(2_000, within(1.0));
	}

	@Test
	void onlyActiveWorkspaceHasNoLead() {
		this.shares.charge(LARGE, 1, 10_000, 0);
		assertThat(this.shares.leadTokens(LARGE)).isZero();
		assertThat(this.shares.leadTokens(SMALL)).isZero();
	}

}
