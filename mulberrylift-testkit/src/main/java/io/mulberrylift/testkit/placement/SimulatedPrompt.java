package io.mulberrylift.testkit.placement;

import java.util.Objects;

/**
 * State of a prompt that is processed by simulated engines.
 *
 * <p>
 * Not safe for use by several threads.
 * </p>
 */
final class SimulatedPrompt {

	private final PromptKind kind;

	private final long tokens;

	private final double arrivalMillis;

	private final double placedMillis;

	private final double expectedFirstTokenMillis;

	private final double partPrefillMillis;

	private final long memoryTokens;

	private final boolean memoryReserved;

	private final int parts;

	private int remainingParts;

	private int remainingEvents;

	private double firstTokenMillis = -1;

	private double lastEventMillis;

	private double longestGapMillis;

	SimulatedPrompt(PromptKind kind, long tokens, int events, int parts, double partMillis, long memoryTokens,
			boolean memoryReserved, double arrivedMillis) {
		this(kind, tokens, events, parts, partMillis, memoryTokens, memoryReserved, arrivedMillis, arrivedMillis, 0);
	}

	SimulatedPrompt(PromptKind kind, long tokens, int events, int parts, double partMillis, long memoryTokens,
			boolean memoryReserved, double arrivedMillis, double placedMillis, double expectedFirstTokenMillis) {
		this.kind = Objects.requireNonNull(kind, "kind");
		this.tokens = tokens;
		this.remainingEvents = events;
		this.parts = parts;
		this.remainingParts = parts;
		this.partPrefillMillis = partMillis;
		this.memoryTokens = memoryTokens;
		this.memoryReserved = memoryReserved;
		this.arrivalMillis = arrivedMillis;
		this.placedMillis = placedMillis;
		this.expectedFirstTokenMillis = expectedFirstTokenMillis;
	}

	double partPrefillMillis() {
		return this.partPrefillMillis;
	}

	double partTokens() {
		return (double) this.tokens / this.parts;
	}

	/**
	 * Returns the prefill time per token, which grows with the prompt length because of
	 * the attention pairs.
	 * @return the time in milliseconds
	 */
	double prefillMillisPerToken() {
		return this.partPrefillMillis / partTokens();
	}

	/**
	 * Returns whether the prefill is split across several engines.
	 * @return true if there is more than one part
	 */
	boolean isSplit() {
		return this.parts > 1;
	}

	long memoryTokens() {
		return this.memoryTokens;
	}

	/**
	 * Returns the memory that the prompt takes in addition to what is reserved for it.
	 * @return the size in tokens
	 */
	long unreservedTokens() {
		return (this.memoryReserved) ? 0 : this.memoryTokens;
	}

	void completePart() {
		this.remainingParts--;
	}

	boolean isDecoding() {
		return this.remainingParts == 0;
	}

	/**
	 * Emits an event of the answer at the end of an iteration, if decoding.
	 * @param nowMillis the current time
	 * @return whether the answer is complete
	 */
	boolean emitEvent(double nowMillis) {
		if (!isDecoding()) {
			return false;
		}
		if (this.firstTokenMillis < 0) {
			this.firstTokenMillis = nowMillis - this.arrivalMillis;
		}
		else {
			this.longestGapMillis = Math.max(this.longestGapMillis, nowMillis - this.lastEventMillis);
		}
		this.lastEventMillis = nowMillis;
		this.remainingEvents--;
		return this.remainingEvents <= 0;
	}

	boolean hasFirstToken() {
		return this.firstTokenMillis >= 0;
	}

	double attainableBenefit() {
		return this.kind.benefit(this.tokens, true);
	}

	double earnedBenefit(double nowMillis) {
		PromptOutcome outcome = outcome(nowMillis);
		return (outcome.served()) ? this.kind.benefit(this.tokens, outcome.timely()) : 0;
	}

	PromptOutcome outcome(double nowMillis) {
		boolean served = nowMillis - this.arrivalMillis <= this.kind.deadlineMillis();
		boolean timely = served && this.firstTokenMillis <= this.kind.firstTokenTargetMillis()
				&& this.longestGapMillis <= this.kind.gapTargetMillis();
		return new PromptOutcome(this.kind, this.tokens, this.arrivalMillis, served, timely,
				this.longestGapMillis > this.kind.gapTargetMillis(), this.expectedFirstTokenMillis,
				this.firstTokenMillis + this.arrivalMillis - this.placedMillis);
	}

	PromptKind kind() {
		return this.kind;
	}

}
