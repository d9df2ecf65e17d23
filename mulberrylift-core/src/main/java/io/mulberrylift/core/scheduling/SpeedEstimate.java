package io.mulberrylift.core.scheduling;

/**
 * Speed of one endpoint as learned from finished attempts.
 *
 * <p>
 * Not safe for use by several threads; owned by the scheduler. All values stay positive.
 * Prefill speed follows high observations quickly and low ones slowly, since time spent
 * in the engine's queue only ever makes it look slower.
 * </p>
 */
final class SpeedEstimate {

	/** Prefill speed expected of an unknown engine, in tokens per millisecond. */
	static final double TYPICAL_TOKENS_PER_MILLI = 6;

	private static final double INITIAL_DECODE_GAP_MILLIS = 25;

	private static final double INITIAL_BUSY_GAP_MILLIS = 100;

	private static final double GAP_SHARE = 0.1;

	private static final double FOLLOW_SHARE = 0.3;

	private static final double RELUCTANT_SHARE = 0.02;

	private static final int LEAST_PREFILL_TOKENS = 512;

	private static final int LEAST_OUTPUT_TOKENS = 8;

	private double prefillTokensPerMilli = TYPICAL_TOKENS_PER_MILLI;

	private double busyGapMillis = INITIAL_BUSY_GAP_MILLIS;

	private double decodeGapMillis = INITIAL_DECODE_GAP_MILLIS;

	void learn(AttemptReport report, boolean alone, boolean besideLong) {
		if (report.firstTokenMillis() <= 0) {
			return;
		}
		int prefillTokens = report.promptTokens() - report.cachedTokens();
		if (report.whole() && prefillTokens >= LEAST_PREFILL_TOKENS && alone) {
			double observed = (double) prefillTokens / report.firstTokenMillis();
			double share = (observed > this.prefillTokensPerMilli) ? FOLLOW_SHARE : RELUCTANT_SHARE;
			this.prefillTokensPerMilli += share * (observed - this.prefillTokensPerMilli);
		}
		if (report.outputTokens() >= LEAST_OUTPUT_TOKENS) {
			double observed = (double) (report.durationMillis() - report.firstTokenMillis())
					/ (report.outputTokens() - 1);
			learnGap(observed, besideLong);
		}
	}

	private void learnGap(double observedMillis, boolean besideLong) {
		if (besideLong) {
			this.busyGapMillis += GAP_SHARE * (observedMillis - this.busyGapMillis);
		}
		else {
			this.decodeGapMillis += GAP_SHARE * (observedMillis - this.decodeGapMillis);
		}
		this.decodeGapMillis = Math.max(1, this.decodeGapMillis);
		this.busyGapMillis = Math.max(this.decodeGapMillis, this.busyGapMillis);
	}

	/**
	 * Returns how many prompt tokens are processed in a millisecond.
	 * @return tokens per millisecond
	 */
	double prefillTokensPerMilli() {
		return this.prefillTokensPerMilli;
	}

	/**
	 * Returns the time between two output tokens while no prompt is processed.
	 * @return milliseconds
	 */
	double decodeGapMillis() {
		return this.decodeGapMillis;
	}

	/**
	 * Returns the time between two output tokens beside a long prompt.
	 * @return milliseconds
	 */
	double busyGapMillis() {
		return this.busyGapMillis;
	}

}
