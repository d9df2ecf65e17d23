package io.mulberrylift.core.placement;

/**
 * Rate of the work that arrives at one instance, as an exponentially decaying mean.
 *
 * <p>
 * Not thread-safe; owned by the reducer.
 * </p>
 */
final class DemandMeter {

	private static final double MILLIS_PER_SECOND = 1000;

	private final double decayMillis;

	private double decayedWorkMillis;

	private long updatedMillis;

	DemandMeter(double decayMillis) {
		this.decayMillis = decayMillis;
	}

	void record(double workMillis, long nowMillis) {
		this.decayedWorkMillis = decayed(nowMillis) + workMillis;
		this.updatedMillis = nowMillis;
	}

	/**
	 * Returns the rate.
	 * @param nowMillis the current time
	 * @return work per second, in milliseconds of one engine
	 */
	double workMillisPerSecond(long nowMillis) {
		return decayed(nowMillis) * MILLIS_PER_SECOND / this.decayMillis;
	}

	private double decayed(long nowMillis) {
		return this.decayedWorkMillis * Math.exp(-Math.max(0, nowMillis - this.updatedMillis) / this.decayMillis);
	}

}
