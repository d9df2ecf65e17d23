package io.mulberrylift.testkit.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * Sequences that an engine processes together, and the plan of its current step.
 *
 * <p>
 * Invariant: {@code prefilling} contains the running sequences whose prefill is not
 * complete. Not thread-safe.
 * </p>
 */
final class Batch {

	private static final int PERCENT = 100;

	private final EngineSettings settings;

	private final List<Sequence> running = new ArrayList<>();

	private final List<Sequence> stepSequences = new ArrayList<>();

	private final TreeSet<Sequence> prefilling = new TreeSet<>(Sequence.ORDER);

	private int plannedPrefillTokens;

	private int decodingSequences;

	Batch(EngineSettings settings) {
		this.settings = settings;
	}

	int size() {
		return this.running.size();
	}

	boolean isEmpty() {
		return this.running.isEmpty();
	}

	void add(Sequence sequence) {
		this.running.add(sequence);
		this.prefilling.add(sequence);
	}

	void remove(Sequence sequence) {
		this.running.remove(sequence);
		this.prefilling.remove(sequence);
	}

	void endPrefill(Sequence sequence) {
		this.prefilling.remove(sequence);
	}

	/**
	 * Returns a snapshot of the running sequences. The list is reused and valid only
	 * until the next call.
	 * @return the sequences in the order in which they were added
	 */
	List<Sequence> snapshot() {
		this.stepSequences.clear();
		this.stepSequences.addAll(this.running);
		return this.stepSequences;
	}

	int plannedPrefillTokens() {
		return this.plannedPrefillTokens;
	}

	int decodingSequences() {
		return this.decodingSequences;
	}

	/**
	 * Plans the next step.
	 * @return duration of the step at normal speed, in microseconds
	 */
	double planStep() {
		double prefillMicros = planPrefill();
		this.decodingSequences = 0;
		for (Sequence sequence : this.running) {
			sequence.decoding = !sequence.prefilling();
			this.decodingSequences += sequence.decoding ? 1 : 0;
		}
		return this.settings.stepBaseMicros() + prefillMicros
				+ (double) this.decodingSequences * this.settings.decodeMicrosPerSequence();
	}

	private double planPrefill() {
		int remainingChunkTokens = this.settings.prefillChunkTokens();
		double micros = 0;
		for (Sequence sequence : this.prefilling) {
			if (remainingChunkTokens == 0) {
				break;
			}
			int tokens = Math.min(remainingChunkTokens, sequence.remainingPrefillTokens);
			sequence.plannedPrefillTokens = tokens;
			remainingChunkTokens -= tokens;
			double speed = 1 + (double) (sequence.memberCount() - 1) * this.settings.gangGainPercent() / PERCENT;
			micros += tokens * this.settings.prefillMicrosPerToken() / speed;
		}
		this.plannedPrefillTokens = this.settings.prefillChunkTokens() - remainingChunkTokens;
		return micros;
	}

}
