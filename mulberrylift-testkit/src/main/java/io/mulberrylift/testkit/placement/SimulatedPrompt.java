package io.mulberrylift.testkit.placement;

import java.util.Objects;

/**
 * A prompt on its way through simulated engines.
 *
 * <p>
 * Not safe for use by several threads.
 * </p>
 */
final class SimulatedPrompt {

	private final PromptKind kind;

	private final long tokens;

	private final double arrivedMillis;

	private final double partMillis;

	private final long memoryTokens;

	private final int parts;

	private int partsLeft;

	private int eventsLeft;

	private double firstMillis = -1;

	private double lastMillis;

	private double longestGapMillis;

	SimulatedPrompt(PromptKind kind, long tokens, int events, int parts, double partMillis, long memoryTokens,
			double arrivedMillis) {
		this.kind = Objects.requireNonNull(kind, "kind");
		this.tokens = tokens;
		this.eventsLeft = events;
		this.parts = parts;
		this.partsLeft = parts;
		this.partMillis = partMillis;
		this.memoryTokens = memoryTokens;
		this.arrivedMillis = arrivedMillis;
	}

	double partMillis() {
		return this.partMillis;
	}

	double partTokens() {
		return (double) this.tokens / this.parts;
	}

	/**
	 * Returns the reading time per token; the pairs of long prompts make it larger.
	 * @return the time in milliseconds
	 */
	double millisPerToken() {
		return this.partMillis / partTokens();
	}

	/**
	 * Returns whether several engines read it.
	 * @return true if so
	 */
	boolean isShared() {
		return this.parts > 1;
	}

	long memoryTokens() {
		return this.memoryTokens;
	}

	void partRead() {
		this.partsLeft--;
	}

	boolean isWriting() {
		return this.partsLeft == 0;
	}

	/**
	 * Takes the end of a pass.
	 * @param nowMillis the current time
	 * @return whether the answer is complete
	 */
	boolean event(double nowMillis) {
		if (!isWriting()) {
			return false;
		}
		if (this.firstMillis < 0) {
			this.firstMillis = nowMillis - this.arrivedMillis;
		}
		else {
			this.longestGapMillis = Math.max(this.longestGapMillis, nowMillis - this.lastMillis);
		}
		this.lastMillis = nowMillis;
		this.eventsLeft--;
		return this.eventsLeft <= 0;
	}

	boolean hasBegun() {
		return this.firstMillis >= 0;
	}

	double owed() {
		return this.kind.benefit(this.tokens, true);
	}

	double earned(double nowMillis) {
		if (nowMillis - this.arrivedMillis > this.kind.deadlineMillis()) {
			return 0;
		}
		boolean inTime = this.firstMillis <= this.kind.firstTargetMillis()
				&& this.longestGapMillis <= this.kind.gapTargetMillis();
		return this.kind.benefit(this.tokens, inTime);
	}

	PromptKind kind() {
		return this.kind;
	}

}
