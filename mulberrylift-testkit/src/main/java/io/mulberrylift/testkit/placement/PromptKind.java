package io.mulberrylift.testkit.placement;

import java.util.Random;

/**
 * Kinds of prompts of the users' two deployments with their targets and benefit.
 *
 * <p>
 * Sizes are lognormal with the given mean and spread, cut at the largest one.
 * </p>
 */
public enum PromptKind {

	/** A few thousand tokens; due at once. */
	SHORT(4960, 0.9, 23_800, 34.9, 0.7, 300, 200, 10_000, 1.3, 0.33),

	/** Tens of thousands of tokens. */
	MEDIUM(45_000, 0.5, 110_000, 20.9, 0.6, 1500, 500, 10_000, 3.1, 0.79),

	/** Hundreds of thousands of tokens, sometimes more than one engine holds. */
	LONG(210_000, 0.55, 1_000_000, 17.4, 0.5, 3000, 800, 15_000, 22, 5.4);

	private static final double BASE_SHARE = 0.3;

	private static final double MAX_BENEFIT = 4;

	private final double meanTokens;

	private final double spread;

	private final double maxTokens;

	private final double meanEvents;

	private final double eventSpread;

	private final long firstTokenTargetMillis;

	private final long gapTargetMillis;

	private final long deadlineMillis;

	private final double benefit;

	private final double lateBenefit;

	PromptKind(double meanTokens, double spread, double maxTokens, double meanEvents, double eventSpread,
			long firstTargetMillis, long gapTargetMillis, long deadlineMillis, double benefit, double lateBenefit) {
		this.meanTokens = meanTokens;
		this.spread = spread;
		this.maxTokens = maxTokens;
		this.meanEvents = meanEvents;
		this.eventSpread = eventSpread;
		this.firstTokenTargetMillis = firstTargetMillis;
		this.gapTargetMillis = gapTargetMillis;
		this.deadlineMillis = deadlineMillis;
		this.benefit = benefit;
		this.lateBenefit = lateBenefit;
	}

	private static double lognormal(double mean, double spread, Random random) {
		return mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
	}

	/**
	 * Draws the size of a prompt.
	 * @param random source of randomness
	 * @return tokens, at least 1
	 */
	public long drawPromptTokens(Random random) {
		return Math.max(1, (long) Math.min(this.maxTokens, lognormal(this.meanTokens, this.spread, random)));
	}

	/**
	 * Draws the length of an answer.
	 * @param random source of randomness
	 * @return events, at least 1
	 */
	public int drawAnswerEvents(Random random) {
		return Math.max(1, (int) Math.round(lognormal(this.meanEvents, this.eventSpread, random)));
	}

	/**
	 * Returns the benefit of an answer.
	 * @param tokens size of the prompt
	 * @param inTime whether first token and pauses were on time
	 * @return the benefit; it grows with size up to four times the kind's
	 */
	public double benefit(long tokens, boolean inTime) {
		double share = Math.min(MAX_BENEFIT, BASE_SHARE + (1 - BASE_SHARE) * tokens / this.meanTokens);
		return share * ((inTime) ? this.benefit : this.lateBenefit);
	}

	/**
	 * Returns the time to the first token that is on time.
	 * @return the time in milliseconds
	 */
	public long firstTokenTargetMillis() {
		return this.firstTokenTargetMillis;
	}

	/**
	 * Returns the longest pause that is on time.
	 * @return the time in milliseconds
	 */
	public long gapTargetMillis() {
		return this.gapTargetMillis;
	}

	/**
	 * Returns how long a caller waits.
	 * @return the time in milliseconds
	 */
	public long deadlineMillis() {
		return this.deadlineMillis;
	}

}
