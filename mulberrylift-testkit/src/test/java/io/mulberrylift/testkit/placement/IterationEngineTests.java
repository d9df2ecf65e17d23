package io.mulberrylift.testkit.placement;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class IterationEngineTests {

	private final IterationEngine engine = new IterationEngine(PlacementExperiment.MODEL, 2);

	private static SimulatedPrompt prompt(long tokens, int parts, int events) {
		double prefillMillis = PlacementExperiment.MODEL.partPrefillMillis(tokens, parts);
		return new SimulatedPrompt(PromptKind.SHORT, tokens, events, parts, prefillMillis, tokens, false, 0);
	}

	private double iterateUntilFirstToken(SimulatedPrompt prompt) {
		double now = 0;
		while (!prompt.hasFirstToken()) {
			now += this.engine.beginIteration();
			this.engine.endIteration(now);
		}
		return now;
	}

	@Test
	void idleEnginePrefillsAPromptInItsPredictedTime() {
		SimulatedPrompt prompt = prompt(45_000, 1, 1);
		this.engine.enqueue(prompt);
		assertThat(iterateUntilFirstToken(prompt)).isCloseTo(prompt.partPrefillMillis(), within(1.0));
	}

	@Test
	void longPrefillDelaysTheNextEventOfARunningAnswer() {
		SimulatedPrompt decoding = prompt(5000, 1, 100);
		this.engine.enqueue(decoding);
		iterateUntilFirstToken(decoding);
		double baselineMillis = this.engine.beginIteration();
		this.engine.endIteration(100);
		this.engine.enqueue(prompt(200_000, 1, 1));
		assertThat(this.engine.beginIteration()).isGreaterThan(baselineMillis + 500);
	}

	@Test
	void partsOfSplitPromptsGoFirst() {
		SimulatedPrompt own = prompt(45_000, 1, 1);
		SimulatedPrompt other = prompt(45_000, 2, 1);
		this.engine.enqueue(own);
		this.engine.enqueuePart(other);
		double end = iterateUntilFirstToken(own);
		assertThat(end).isCloseTo(own.partPrefillMillis() + other.partPrefillMillis(), within(1.0));
	}

	@Test
	void newestPartGoesFirst() {
		SimulatedPrompt older = prompt(100_000, 2, 1);
		SimulatedPrompt newer = prompt(45_000, 2, 1);
		older.completePart();
		newer.completePart();
		this.engine.enqueue(older);
		this.engine.enqueue(newer);
		double newerEnd = iterateUntilFirstToken(newer);
		assertThat(newerEnd).isCloseTo(newer.partPrefillMillis(), within(1.0));
		assertThat(older.isDecoding()).isFalse();
		assertThat(newerEnd + iterateUntilFirstToken(older))
			.isCloseTo(older.partPrefillMillis() + newer.partPrefillMillis(), within(20.0));
	}

	@Test
	void reservedMemoryIsNotAvailableUntilItIsReleased() {
		assertThat(this.engine.reserve(400_000)).isTrue();
		assertThat(this.engine.reserve(100_000)).isFalse();
		SimulatedPrompt waiting = prompt(100_000, 1, 1);
		this.engine.enqueue(waiting);
		assertThat(this.engine.beginIteration()).isZero();
		this.engine.release(400_000);
		assertThat(iterateUntilFirstToken(waiting)).isPositive();
	}

	@Test
	void promptsWaitForASlotAndForMemory() {
		SimulatedPrompt first = prompt(300_000, 1, 1);
		SimulatedPrompt second = prompt(200_000, 1, 1);
		this.engine.enqueue(first);
		this.engine.enqueue(second);
		double firstEnd = iterateUntilFirstToken(first);
		assertThat(second.hasFirstToken()).isFalse();
		assertThat(iterateUntilFirstToken(second)).isPositive();
		assertThat(firstEnd).isCloseTo(first.partPrefillMillis(), within(1.0));
	}

}
