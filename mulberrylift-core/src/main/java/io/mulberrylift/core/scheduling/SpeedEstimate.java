package io.mulberrylift.core.scheduling;

/**
 * Speed of one endpoint, estimated from finished attempts.
 *
 * <p>
 * Not thread-safe; owned by the scheduler. All values stay positive. The estimate of the
 * prefill speed rises quickly and falls slowly, since time spent in the engine's queue
 * can only make an observation too low.
 * </p>
 */
final class SpeedEstimate {

	/**
	 * Prefill speed assumed for an engine without observations, in tokens per
	 * millisecond.
	 */
	static final double TYPICAL_TOKENS_PER_MILLI = 6;

	private static final double INITIAL_DECODE_GAP_MILLIS = 25;

	private static final double INITIAL_CONTENDED_DECODE_GAP_MILLIS = 100;

	private static final double GAP_SMOOTHING = 0.1;

	private static final double SPEED_INCREASE_SMOOTHING = 0.3;

	private static final double SPEED_DECREASE_SMOOTHING = 0.02;

	private static final int MIN_PREFILL_TOKENS = 512;

	private static final int MIN_OUTPUT_TOKENS = 8;

	private double prefillTokensPerMilli = TYPICAL_TOKENS_PER_MILLI;

	private double contendedDecodeGapMillis = INITIAL_CONTENDED_DECODE_GAP_MILLIS;

	private double decodeGapMillis = INITIAL_DECODE_GAP_MILLIS;

	void update(AttemptReport report, boolean singleEngine, boolean duringLongPrefill) {
		if (report.firstTokenMillis() <= 0) {
			return;
		}
		int prefillTokens = report.promptTokens() - report.cachedTokens();
		if (report.complete() && prefillTokens >= MIN_PREFILL_TOKENS && singleEngine) {
			double observed = (double) prefillTokens / report.firstTokenMillis();
			double smoothing = (observed > this.prefillTokensPerMilli) ? SPEED_INCREASE_SMOOTHING
					: SPEED_DECREASE_SMOOTHING;
			this.prefillTokensPerMilli += smoothing * (observed - this.prefillTokensPerMilli);
		}
		if (report.outputTokens() >= MIN_OUTPUT_TOKENS) {
			double observed = (double) (report.durationMillis() - report.firstTokenMillis())
					/ (report.outputTokens() - 1);
			updateGap(observed, duringLongPrefill);
		}
	}

	private void updateGap(double observedMillis, boolean duringLongPrefill) {
		if (duringLongPrefill) {
			this.contendedDecodeGapMillis += GAP_SMOOTHING * (observedMillis - this.contendedDecodeGapMillis);
		}
		else {
			this.decodeGapMillis += GAP_SMOOTHING * (observedMillis - this.decodeGapMillis);
		}
		this.decodeGapMillis = Math.max(1, this.decodeGapMillis);
		this.contendedDecodeGapMillis = Math.max(this.decodeGapMillis, this.contendedDecodeGapMillis);
	}

	/**
	 * Returns the prefill speed.
	 * @return prompt tokens per millisecond
	 */
	double prefillTokensPerMilli() {
		return this.prefillTokensPerMilli;
	}

	/**
	 * Returns the time between two output tokens while no long prompt is processed.
	 * @return milliseconds
	 */
	double decodeGapMillis() {
		return this.decodeGapMillis;
	}

	/**
	 * Returns the time between two output tokens while a long prompt is processed.
	 * @return milliseconds
	 */
	double contendedDecodeGapMillis() {
		return this.contendedDecodeGapMillis;
	}

}
