package io.mulberrylift.core.placement;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.within;

class EngineCostModelTests {

	private final EngineCostModel model = new EngineCostModel(0.925, 0.007, 0.00254, 256, 0.0917, 2048, 46, 450_000);

	@Test
	void prefillGrowsWithTheSquareOfThePromptSizeAndIsDividedByParts() {
		assertThat(this.model.partPrefillMillis(210_000, 1)).isCloseTo(2842, within(2.0));
		assertThat(this.model.partPrefillMillis(210_000, 8)).isCloseTo(355, within(1.0));
		assertThat(this.model.partPrefillMillis(4960, 1)).isCloseTo(20.5, within(0.5));
	}

	@Test
	void decodeTimeOfAnIterationGrowsWithRequestsAndContext() {
		assertThat(this.model.iterationDecodeMillis(0, 0)).isZero();
		assertThat(this.model.iterationDecodeMillis(1, 0)).isCloseTo(42.9, within(0.1));
		assertThat(this.model.iterationDecodeMillis(11, 1_000_000))
			.isGreaterThan(this.model.iterationDecodeMillis(11, 0) + 100);
	}

	/**
	 * Load: a prompt of 700,000 tokens on an engine that also decodes. Its tokens attend
	 * to more earlier ones than those of a short prompt, so that an iteration takes
	 * seconds.
	 */
	@Test
	void iterationPrefillsAnOrdinaryPromptEntirelyAndALongOneForSeconds() {
		double ordinary = this.model.partPrefillMillis(45_000, 1);
		assertThat(this.model.iterationPrefillMillis(ordinary)).isCloseTo(ordinary, within(0.01));
		double total = this.model.partPrefillMillis(700_000, 1);
		double share = 94_208 / 700_000.0;
		assertThat(this.model.iterationPrefillMillis(total)).isCloseTo(share * total, within(1.0)).isGreaterThan(3000);
		assertThat(this.model.iterationPrefillMillis(0)).isZero();
	}

	@Test
	void rejectsAPrefillRateOfZero() {
		assertThatIllegalArgumentException().isThrownBy(() -> new EngineCostModel(1, 0, 0, 0, 0, 1, 1, 1));
	}

}
