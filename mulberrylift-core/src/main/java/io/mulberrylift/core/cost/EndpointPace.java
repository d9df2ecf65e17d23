package io.mulberrylift.core.cost;

/**
 * How slow an endpoint is in comparison with the others of its service: a factor of all
 * its times, learned from recent observations. It is never below 1: a fast endpoint gets
 * more requests since its work is done sooner, and several instances that took one for
 * fast by chance would crowd there.
 *
 * <p>
 * Not thread-safe. A factor over 1 must be shown by several observations, so that
 * endpoints that are alike are treated alike. Without observations, the factor returns to
 * 1 within seconds and the endpoint is tried again.
 * </p>
 */
final class EndpointPace {

	/** Maximum of the factor; its minimum is the inverse. */
	static final double MAX_FACTOR = 8;

	private static final double MAX_LOG_FACTOR = Math.log(MAX_FACTOR);

	private static final double HALF_LIFE_MILLIS = 2000;

	/** Maximum weight; more observations than these make older ones count less. */
	private static final double MAX_WEIGHT = 32;

	/** Variance that the logarithms of the factors of endpoints are expected to have. */
	private static final double USUAL_VARIANCE = 0.5;

	/** Number of standard errors by which endpoints differ by chance. */
	private static final double CHANCE_ERRORS = 2;

	/**
	 * Difference of logarithms that does not count: it would move requests between
	 * endpoints that only differ in waits which are not known.
	 */
	private static final double UNIMPORTANT_LOG_FACTOR = Math.log(1.3);

	/** Variance that even equal requests have. */
	private static final double MIN_VARIANCE = 0.02;

	private static final double MIN_WEIGHT = 0.5;

	private double weight;

	private double logRatioSum;

	private double squareSum;

	private double varianceSum;

	private long decayedMillis;

	/**
	 * Records a duration.
	 * @param logRatio logarithm of its ratio to the usual duration
	 * @param logVariance variance of the logarithms of such durations
	 * @param observations number of observations
	 * @param nowMillis the current time
	 */
	void record(double logRatio, double logVariance, double observations, long nowMillis) {
		decay(nowMillis);
		double bounded = Math.max(-MAX_LOG_FACTOR, Math.min(MAX_LOG_FACTOR, logRatio));
		double added = Math.min(observations, MAX_WEIGHT);
		this.weight += added;
		this.logRatioSum += added * bounded;
		this.squareSum += added * bounded * bounded;
		this.varianceSum += added * Math.max(logVariance, MIN_VARIANCE);
		if (this.weight > MAX_WEIGHT) {
			scale(MAX_WEIGHT / this.weight);
		}
	}

	private void decay(long nowMillis) {
		scale(Math.pow(0.5, (nowMillis - this.decayedMillis) / HALF_LIFE_MILLIS));
		this.decayedMillis = nowMillis;
	}

	private void scale(double factor) {
		this.weight *= factor;
		this.logRatioSum *= factor;
		this.squareSum *= factor;
		this.varianceSum *= factor;
	}

	/**
	 * Returns the factor of the endpoint's times.
	 * @param nowMillis the current time
	 * @return 1, or more for a slow endpoint
	 */
	double factor(long nowMillis) {
		double share = Math.pow(0.5, (nowMillis - this.decayedMillis) / HALF_LIFE_MILLIS);
		double count = this.weight * share;
		if (count < MIN_WEIGHT) {
			return 1;
		}
		double mean = this.logRatioSum / this.weight;
		// Requests that wait for others, which are not known, vary more than their work.
		double variance = Math.max(this.varianceSum, this.squareSum - mean * this.logRatioSum) / this.weight;
		double logFactor = this.logRatioSum * share / (count + variance / USUAL_VARIANCE);
		double byChance = UNIMPORTANT_LOG_FACTOR + CHANCE_ERRORS * Math.sqrt(variance / count);
		return Math.exp(Math.max(0, logFactor - byChance));
	}

	double weight() {
		return this.weight;
	}

}
