package io.mulberrylift.core.limit;

/**
 * Token bucket that also records requests for which there was no token.
 *
 * <p>
 * Not thread-safe. It starts without a token, so that instances which start together do
 * not send together.
 * </p>
 */
final class RequestPacer {

	private static final double MILLIS_PER_SECOND = 1000;

	/** Covers rounding of the tokens. */
	private static final double TOLERANCE = 1e-6;

	private double perSecond;

	private double capacity;

	private double tokens;

	private long updatedMillis;

	/**
	 * Sets the rate.
	 * @param rate requests per second; 0 for none
	 * @param maxTokens maximum number of tokens kept during a pause
	 * @param nowMillis the current time
	 */
	void setRate(double rate, double maxTokens, long nowMillis) {
		update(nowMillis);
		if (this.perSecond == 0) {
			this.tokens = 0;
		}
		this.perSecond = rate;
		this.capacity = maxTokens;
	}

	/**
	 * Sets the tokens at hand.
	 * @param count number of tokens, also a part of one
	 */
	void setTokens(double count) {
		this.tokens = Math.min(this.capacity, count);
	}

	boolean isDue(long nowMillis) {
		update(nowMillis);
		return this.tokens >= 1 - TOLERANCE;
	}

	/**
	 * Takes a token, also if there is none, which delays the following requests.
	 * @param nowMillis the current time
	 */
	void record(long nowMillis) {
		update(nowMillis);
		this.tokens--;
	}

	/**
	 * Returns the time until the next request is due.
	 * @param nowMillis the current time
	 * @return the time in milliseconds, {@code Long.MAX_VALUE} if the rate is 0
	 */
	long dueInMillis(long nowMillis) {
		update(nowMillis);
		if (this.perSecond == 0) {
			return Long.MAX_VALUE;
		}
		return (long) Math.ceil(Math.max(0, 1 - this.tokens) * MILLIS_PER_SECOND / this.perSecond);
	}

	private void update(long nowMillis) {
		this.tokens = Math.min(this.capacity,
				this.tokens + (nowMillis - this.updatedMillis) * this.perSecond / MILLIS_PER_SECOND);
		this.updatedMillis = nowMillis;
	}

}
