package io.mulberrylift.core.placement;

import java.util.HashMap;
import java.util.Map;

import io.mulberrylift.core.model.EndpointId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EngineDivisionTests {

	private static final int ENGINES = 40;

	private static final int SLOTS = 8;

	private static final KnownLoad BUSY = new KnownLoad(0.3, 0.5);

	private static EndpointId engine(int index) {
		return new EndpointId("e" + index);
	}

	private static EngineDivision division(double shortEngines, double longEngines, KnownLoad known) {
		Map<EndpointId, Double> positions = new HashMap<>();
		for (int index = 0; index < ENGINES; index++) {
			positions.put(engine(index), (index + 0.5) / ENGINES);
		}
		return new EngineDivision(shortEngines * 1000, longEngines * 1000, 500, 250, positions, known, true);
	}

	@Test
	void sidesHaveTheSizeOfTheirDemand() {
		EngineDivision division = division(5, 15, BUSY);
		assertThat(division.engines(DemandKind.SHORT_ANSWER)).isEqualTo(10);
		assertThat(division.engines(DemandKind.LONG_PROMPT)).isEqualTo(30);
	}

	/** Failure: instances whose figures differ by a fifth must agree on most engines. */
	@Test
	void instancesThatKnowTheDemandRoughlyAgreeOnAllButFewEngines() {
		EngineDivision one = division(5, 15, BUSY);
		EngineDivision other = division(5, 18, BUSY);
		int different = 0;
		for (int index = 0; index < ENGINES; index++) {
			different += (one.side(engine(index)) != other.side(engine(index))) ? 1 : 0;
		}
		assertThat(different).isLessThanOrEqualTo(2);
	}

	@Test
	void usingAnEngineOfTheOtherSideHasACostWhileThatSideIsBusy() {
		EngineDivision division = division(10, 20, BUSY);
		assertThat(division.expectedShortAnswers(engine(0), SLOTS)).isGreaterThan(1);
		assertThat(division.expectedShortAnswers(engine(ENGINES - 1), SLOTS)).isZero();
		assertThat(division.collisionProbability(engine(ENGINES - 1))).isGreaterThan(0.5);
		assertThat(division.collisionProbability(engine(0))).isZero();
	}

	/** Load: a burst of long prompts has ended, and its figures are not known yet. */
	@Test
	void engineOfIdleSideIsLentAlthoughItsDemandWasTold() {
		EngineDivision division = division(10, 20, new KnownLoad(0, 0));
		assertThat(division.collisionProbability(engine(ENGINES - 1))).isZero();
		assertThat(division.expectedShortAnswers(engine(0), SLOTS)).isLessThanOrEqualTo(0.5);
	}

	@Test
	void enginesAreNotDividedWithoutDemandOfOneKind() {
		assertThat(division(10, 0, BUSY).isDivided()).isFalse();
		assertThat(division(0, 10, BUSY).isDivided()).isFalse();
		assertThat(division(0, 10, BUSY).expectedShortAnswers(engine(0), SLOTS)).isZero();
		assertThat(EngineDivision.NONE.isDivided()).isFalse();
		assertThat(EngineDivision.NONE.collisionProbability(engine(0))).isZero();
	}

	@Test
	void freeEnginesOfLongPromptsFallAsTheirDemandGrows() {
		assertThat(division(1, 4, BUSY).freeLongEngines()).isEqualTo(28);
		assertThat(division(4, 30, BUSY).freeLongEngines()).isEqualTo(5);
		assertThat(division(4, 300, BUSY).freeLongEngines()).isEqualTo(1);
	}

}
