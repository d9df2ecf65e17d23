package io.mulberrylift.core.cost;

import java.util.stream.IntStream;

/**
 * Decaying distribution of durations in buckets of equal ratios, from 1 ms to 40 s.
 *
 * <p>
 * Not thread-safe. Invariant: no weight is negative, and the weight of all observations
 * together is at most {@value #MAX_WEIGHT}. Observations lose half of their weight in
 * {@value #HALF_LIFE_MILLIS} ms, so that a changed service is learned anew.
 * </p>
 */
final class DurationSketch {

	/** Number of buckets; each ends at 1.1 times its start. */
	static final int BUCKETS = 112;

	/** Time in which observations lose half of their weight. */
	static final double HALF_LIFE_MILLIS = 30_000;

	/** Maximum weight of all observations together. */
	static final double MAX_WEIGHT = 2000;

	private static final double RATIO = 1.1;

	private static final double LOG_RATIO = Math.log(RATIO);

	private static final double NEGLIGIBLE_WEIGHT = 1e-3;

	private static final double HALF_BUCKET = Math.sqrt(RATIO);

	private static final double[] MILLIS = IntStream.range(0, BUCKETS)
		.mapToDouble((bucket) -> Math.pow(RATIO, bucket))
		.toArray();

	private final float[] weights = new float[BUCKETS];

	private double totalWeight;

	private long decayedMillis;

	private long lastObservedMillis;

	/**
	 * Returns the bucket of a duration.
	 * @param millis the duration; values out of range belong to the first or last bucket
	 * @return the index of the bucket
	 */
	static int bucket(double millis) {
		if (!(millis > 1)) {
			return 0;
		}
		return Math.min(BUCKETS - 1, (int) Math.ceil(Math.log(millis) / LOG_RATIO - 0.5));
	}

	/**
	 * Returns the duration that stands for a bucket.
	 * @param bucket the index of the bucket
	 * @return the duration in milliseconds
	 */
	static double millis(int bucket) {
		return MILLIS[bucket];
	}

	private static double endMillis(int bucket) {
		return MILLIS[bucket] * HALF_BUCKET;
	}

	void record(int bucket, double weight, long nowMillis) {
		decay(nowMillis);
		this.weights[bucket] += (float) weight;
		this.totalWeight += weight;
		if (this.totalWeight > MAX_WEIGHT) {
			scale(MAX_WEIGHT / this.totalWeight);
		}
		this.lastObservedMillis = nowMillis;
	}

	private void decay(long nowMillis) {
		// In steps, since each of them touches all buckets.
		if (nowMillis - this.decayedMillis > HALF_LIFE_MILLIS / 16) {
			scale(Math.pow(0.5, (nowMillis - this.decayedMillis) / HALF_LIFE_MILLIS));
			this.decayedMillis = nowMillis;
		}
	}

	private void scale(double factor) {
		this.totalWeight = 0;
		for (int bucket = 0; bucket < BUCKETS; bucket++) {
			double scaled = this.weights[bucket] * factor;
			this.weights[bucket] = (scaled < NEGLIGIBLE_WEIGHT) ? 0 : (float) scaled;
			this.totalWeight += this.weights[bucket];
		}
	}

	/**
	 * Returns the weight of all observations that have not decayed.
	 * @return about the number of recent observations
	 */
	double weight() {
		return this.totalWeight;
	}

	long lastObservedMillis() {
		return this.lastObservedMillis;
	}

	double mean() {
		return meanRemaining(0);
	}

	/**
	 * Returns the mean remaining time of durations of which some time has passed. Once
	 * the usual time has passed, it is that of the longer ones.
	 * @param elapsedMillis time that has passed
	 * @return the remaining time; half of the passed time if no duration was longer
	 */
	double meanRemaining(double elapsedMillis) {
		double weight = 0;
		double sum = 0;
		for (int bucket = BUCKETS - 1; bucket >= 0 && endMillis(bucket) > elapsedMillis; bucket--) {
			weight += this.weights[bucket];
			sum += this.weights[bucket]
					* Math.max(millis(bucket) - elapsedMillis, (endMillis(bucket) - elapsedMillis) / 2);
		}
		return (weight > NEGLIGIBLE_WEIGHT) ? sum / weight : 0.5 * elapsedMillis;
	}

	/**
	 * Returns the share of durations that are longer than a time.
	 * @param elapsedMillis the time
	 * @return a number from 0 to 1
	 */
	double shareOver(double elapsedMillis) {
		double weight = 0;
		for (int bucket = BUCKETS - 1; bucket >= 0 && endMillis(bucket) > elapsedMillis; bucket--) {
			weight += this.weights[bucket];
		}
		return (this.totalWeight > 0) ? weight / this.totalWeight : 0;
	}

	/**
	 * Returns the mean remaining time of a duration at a random moment of it.
	 * @return the time, at most the mean
	 */
	double meanResidual() {
		double sum = 0;
		double squares = 0;
		for (int bucket = 0; bucket < BUCKETS; bucket++) {
			double millis = millis(bucket);
			sum += this.weights[bucket] * millis;
			squares += this.weights[bucket] * millis * millis;
		}
		return (sum > 0) ? Math.min(squares / (2 * sum), mean()) : 0;
	}

	double quantile(double share) {
		double wanted = share * this.totalWeight;
		double weight = 0;
		for (int bucket = 0; bucket < BUCKETS; bucket++) {
			weight += this.weights[bucket];
			if (weight > 0 && weight >= wanted) {
				return millis(bucket);
			}
		}
		return 0;
	}

	/**
	 * Returns the mean of the logarithms, which few long durations do not dominate.
	 * @return the mean of the natural logarithms of the milliseconds
	 */
	double logMean() {
		double sum = 0;
		for (int bucket = 0; bucket < BUCKETS; bucket++) {
			sum += this.weights[bucket] * bucket * LOG_RATIO;
		}
		return (this.totalWeight > 0) ? sum / this.totalWeight : 0;
	}

	double logVariance() {
		double mean = logMean();
		double sum = 0;
		for (int bucket = 0; bucket < BUCKETS; bucket++) {
			double deviation = bucket * LOG_RATIO - mean;
			sum += this.weights[bucket] * deviation * deviation;
		}
		return (this.totalWeight > 0) ? sum / this.totalWeight : 0;
	}

}
