package io.mulberrylift.testkit.placement;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class PassEngineTests {

	private final PassEngine engine = new PassEngine(PlacementExperiment.MODEL, 2);

	private static SimulatedPrompt prompt(long tokens, int parts, int events) {
		double read = PlacementExperiment.MODEL.partPrefillMillis(tokens, parts);
		return new SimulatedPrompt(PromptKind.SHORT, tokens, events, parts, read, tokens, 0);
	}

	private double passUntilBegun(SimulatedPrompt prompt) {
		double now = 0;
		while (!prompt.hasBegun()) {
			now += this.engine.beginPass();
			this.engine.endPass(now);
		}
		return now;
	}

	@Test
	void anIdleEngineReadsAPromptInItsReadingTime() {
		SimulatedPrompt prompt = prompt(45_000, 1, 1);
		this.engine.queue(prompt);
		assertThat(passUntilBegun(prompt)).isCloseTo(prompt.partMillis(), within(1.0));
	}

	@Test
	void aLongReadStretchesThePauseOfAnAnswer() {
		SimulatedPrompt writing = prompt(5000, 1, 100);
		this.engine.queue(writing);
		passUntilBegun(writing);
		double quiet = this.engine.beginPass();
		this.engine.endPass(100);
		this.engine.queue(prompt(200_000, 1, 1));
		assertThat(this.engine.beginPass()).isGreaterThan(quiet + 500);
	}

	@Test
	void partsForOthersGoFirst() {
		SimulatedPrompt own = prompt(45_000, 1, 1);
		SimulatedPrompt other = prompt(45_000, 2, 1);
		this.engine.queue(own);
		this.engine.help(other);
		double end = passUntilBegun(own);
		assertThat(end).isCloseTo(own.partMillis() + other.partMillis(), within(1.0));
	}

	@Test
	void newestPartGoesFirst() {
		SimulatedPrompt older = prompt(100_000, 2, 1);
		SimulatedPrompt newer = prompt(45_000, 2, 1);
		older.partRead();
		newer.partRead();
		this.engine.queue(older);
		this.engine.queue(newer);
		double newerEnd = passUntilBegun(newer);
		assertThat(newerEnd).isCloseTo(newer.partMillis(), within(1.0));
		assertThat(older.isWriting()).isFalse();
		assertThat(newerEnd + passUntilBegun(older)).isCloseTo(older.partMillis() + newer.partMillis(), within(20.0));
	}

	@Test
	void promptsWaitForASlotAndForMemory() {
		SimulatedPrompt first = prompt(300_000, 1, 1);
		SimulatedPrompt second = prompt(200_000, 1, 1);
		this.engine.queue(first);
		this.engine.queue(second);
		double firstEnd = passUntilBegun(first);
		assertThat(second.hasBegun()).isFalse();
		assertThat(passUntilBegun(second)).isPositive();
		assertThat(firstEnd).isCloseTo(first.partMillis(), within(1.0));
	}

}
