package io.mulberrylift.testkit.placement;

import java.util.Random;

/**
 * Kinds of prompts of the users' two deployments with their latency targets and benefit.
 *
 * <p>
 * Sizes follow a log-normal distribution with the given mean and spread, limited to the
 * maximum size.
 * </p>
 */
public enum PromptKind {

	/** A few thousand tokens; the first token is needed almost immediately. */
	SHORT(4960, 0.9, 23_800, 34.9, 0.7, 300, 200, 10_000, 1.3, 0.33),

	/** Tens of thousands of tokens. */
	MEDIUM(45_000, 0.5, 110_000, 20.9, 0.6, 1500, 500, 10_000, 3.1, 0.79),

	/** Hundreds of thousands of tokens, sometimes more than the memory of one engine. */
	LONG(210_000, 0.55, 1_000_000, 17.4, 0.5, 3000, 800, 15_000, 22, 5.4),

	/**
	 * Hundreds of thousands of tokens; the largest quarter exceeds the memory of one
	 * engine.
	 */
	VERY_LONG(300_000, 0.55, 1_000_000, 16.5, 0.5, 4000, 800, 15_000, 30, 7.5),

	/** A short question of a member, with a larger gap target than other short ones. */
	QUESTION(4960, 0.9, 23_800, 35.7, 0.7, 300, 250, 10_000, 1.3, 0.34),

	/** Annual accounts. */
	ACCOUNTS(45_000, 0.5, 110_000, 21.4, 0.6, 1500, 600, 10_000, 3.3, 0.82),

	/** Grant files; the largest quarter exceeds the memory of one engine. */
	DOSSIER(260_000, 0.55, 1_000_000, 18, 0.5, 4000, 1000, 15_000, 34, 8.6);

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
	 * Draws a random prompt size.
	 * @param random source of randomness
	 * @return number of tokens, at least 1
	 */
	public long drawPromptTokens(Random random) {
		return Math.max(1, (long) Math.min(this.maxTokens, lognormal(this.meanTokens, this.spread, random)));
	}

	/**
	 * Draws a random answer length.
	 * @param random source of randomness
	 * @return number of events, at least 1
	 */
	public int drawAnswerEvents(Random random) {
		return Math.max(1, (int) Math.round(lognormal(this.meanEvents, this.eventSpread, random)));
	}

	/**
	 * Returns the benefit of an answer.
	 * @param tokens size of the prompt
	 * @param inTime whether the first token and all later events met their targets
	 * @return the benefit, which grows with the size up to four times the base benefit of
	 * the kind
	 */
	public double benefit(long tokens, boolean inTime) {
		double share = Math.min(MAX_BENEFIT, BASE_SHARE + (1 - BASE_SHARE) * tokens / this.meanTokens);
		return share * ((inTime) ? this.benefit : this.lateBenefit);
	}

	/**
	 * Returns the target for the time to the first token.
	 * @return the time in milliseconds
	 */
	public long firstTokenTargetMillis() {
		return this.firstTokenTargetMillis;
	}

	/**
	 * Returns the target for the time between two events.
	 * @return the time in milliseconds
	 */
	public long gapTargetMillis() {
		return this.gapTargetMillis;
	}

	/**
	 * Returns the time from arrival to the deadline.
	 * @return the time in milliseconds
	 */
	public long deadlineMillis() {
		return this.deadlineMillis;
	}

}
