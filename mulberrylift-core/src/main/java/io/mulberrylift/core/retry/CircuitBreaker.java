package io.mulberrylift.core.retry;

/**
 * Circuit breaker that stops sending work to an endpoint after consecutive failures and
 * allows single probe attempts until one succeeds.
 *
 * <p>
 * Not thread-safe; owned by the reducer. While the breaker is open, at most one probe
 * runs at a time, and each failed probe doubles the time until the next one, up to a
 * limit.
 * </p>
 */
public final class CircuitBreaker {

	private static final int FAILURES_TO_OPEN = 3;

	private static final long FIRST_OPEN_MILLIS = 500;

	private static final long MAX_OPEN_MILLIS = 10_000;

	private int consecutiveFailures;

	private long openMillis;

	private long openUntilMonotonicMillis;

	private boolean probeRunning;

	/**
	 * Returns whether work may be sent.
	 * @param nowMonotonicMillis the current time
	 * @return {@code true} if the breaker is closed, or if it is open and a probe is due
	 */
	public boolean allows(long nowMonotonicMillis) {
		if (isClosed()) {
			return true;
		}
		return !this.probeRunning && nowMonotonicMillis >= this.openUntilMonotonicMillis;
	}

	/**
	 * Records that work was sent; while the breaker is open, that work is the probe.
	 */
	public void sent() {
		if (!isClosed()) {
			this.probeRunning = true;
		}
	}

	/**
	 * Records a success and closes the breaker.
	 */
	public void succeeded() {
		this.consecutiveFailures = 0;
		this.openMillis = 0;
		this.probeRunning = false;
	}

	/**
	 * Records that work ended without evidence about the endpoint's health.
	 */
	public void inconclusive() {
		this.probeRunning = false;
	}

	/**
	 * Records a failure, which opens the breaker after three in a row and prolongs the
	 * open period after a failed probe.
	 * @param nowMonotonicMillis the current time
	 */
	public void failed(long nowMonotonicMillis) {
		this.consecutiveFailures++;
		this.probeRunning = false;
		if (!isClosed()) {
			this.openMillis = (this.openMillis == 0) ? FIRST_OPEN_MILLIS
					: Math.min(this.openMillis * 2, MAX_OPEN_MILLIS);
			this.openUntilMonotonicMillis = nowMonotonicMillis + this.openMillis;
		}
	}

	/**
	 * Opens the breaker immediately because nothing listens at the endpoint's address.
	 * @param nowMonotonicMillis the current time
	 */
	public void unreachable(long nowMonotonicMillis) {
		if (isClosed()) {
			this.consecutiveFailures = FAILURES_TO_OPEN - 1;
		}
		failed(nowMonotonicMillis);
	}

	/**
	 * Returns whether the breaker is closed.
	 * @return {@code false} while only probes are allowed
	 */
	public boolean isClosed() {
		return this.consecutiveFailures < FAILURES_TO_OPEN;
	}

}
