package io.mulberrylift.core.retry;

/**
 * Stops work to an endpoint that fails again and again, and lets single trials through
 * until one succeeds.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. While open, at most one
 * trial runs at a time, and the time between trials doubles up to a limit.
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
	 * @return true when closed, or when open and a trial is due
	 */
	public boolean allows(long nowMonotonicMillis) {
		if (isClosed()) {
			return true;
		}
		return !this.probeRunning && nowMonotonicMillis >= this.openUntilMonotonicMillis;
	}

	/**
	 * Records that work was sent.
	 */
	public void sent() {
		if (!isClosed()) {
			this.probeRunning = true;
		}
	}

	/**
	 * Records that work succeeded and closes the breaker.
	 */
	public void succeeded() {
		this.consecutiveFailures = 0;
		this.openMillis = 0;
		this.probeRunning = false;
	}

	/**
	 * Records that work ended without saying anything about the endpoint's health.
	 */
	public void inconclusive() {
		this.probeRunning = false;
	}

	/**
	 * Records that the endpoint failed.
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
	 * Opens the breaker at once because nothing listens at the endpoint.
	 * @param nowMonotonicMillis the current time
	 */
	public void unreachable(long nowMonotonicMillis) {
		if (isClosed()) {
			this.consecutiveFailures = FAILURES_TO_OPEN - 1;
		}
		failed(nowMonotonicMillis);
	}

	/**
	 * Returns whether work flows normally.
	 * @return false while only trials are allowed
	 */
	public boolean isClosed() {
		return this.consecutiveFailures < FAILURES_TO_OPEN;
	}

}
