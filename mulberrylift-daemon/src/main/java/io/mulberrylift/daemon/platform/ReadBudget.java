package io.mulberrylift.daemon.platform;

import java.util.function.LongSupplier;

/**
 * Limits the rate of calls to the platform's services.
 *
 * <p>
 * A token bucket that is full at the start. Safe for use by several threads.
 * </p>
 */
public final class ReadBudget {

	private static final double MILLIS_PER_SECOND = 1_000;

	private final double readsPerSecond;

	private final double burst;

	private final LongSupplier monotonicMillis;

	private double tokens;

	private long lastRefillMillis;

	/**
	 * Creates a budget.
	 * @param readsPerSecond sustained rate of calls per second, positive
	 * @param burst maximum burst of calls, at least 1
	 * @param monotonicMillis the monotonic clock in milliseconds
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public ReadBudget(double readsPerSecond, int burst, LongSupplier monotonicMillis) {
		if (!(readsPerSecond > 0) || burst < 1) {
			throw new IllegalArgumentException(
					"Read budget must be positive; set reads per second above 0 and burst " + "to at least 1");
		}
		this.readsPerSecond = readsPerSecond;
		this.burst = burst;
		this.monotonicMillis = monotonicMillis;
		this.tokens = burst;
		this.lastRefillMillis = monotonicMillis.getAsLong();
	}

	/**
	 * Acquires one call from the budget without waiting.
	 * @return whether the call is allowed now
	 */
	public synchronized boolean tryAcquire() {
		long nowMillis = this.monotonicMillis.getAsLong();
		double refill = (nowMillis - this.lastRefillMillis) * this.readsPerSecond / MILLIS_PER_SECOND;
		this.tokens = Math.min(this.burst, this.tokens + Math.max(0, refill));
		this.lastRefillMillis = nowMillis;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
