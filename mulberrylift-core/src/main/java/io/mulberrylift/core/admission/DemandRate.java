package io.mulberrylift.core.admission;

/**
 * Work that arrives per second, smoothed over {@value #PERIOD_MILLIS} ms.
 *
 * <p>
 * Not thread-safe.
 * </p>
 */
final class DemandRate {

	static final long PERIOD_MILLIS = 2000;

	private static final double MILLIS_PER_SECOND = 1000;

	private double perSecond;

	private long updatedMillis;

	void add(double work, long nowMillis) {
		this.perSecond = perSecond(nowMillis) + work * MILLIS_PER_SECOND / PERIOD_MILLIS;
		this.updatedMillis = nowMillis;
	}

	double perSecond(long nowMillis) {
		return this.perSecond * Math.exp((this.updatedMillis - nowMillis) / (double) PERIOD_MILLIS);
	}

}
