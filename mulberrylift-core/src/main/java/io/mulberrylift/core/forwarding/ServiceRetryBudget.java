package io.mulberrylift.core.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This instance's share of the retries that the entire fleet may send to a service in a
 * sliding window.
 *
 * <p>
 * The bound of the fleet is a ratio of its requests plus a fixed extra. An instance
 * applies the ratio to its own requests and uses an equal part of the extra, so that the
 * sum over all instances stays within the bound without coordination. Not thread-safe.
 * </p>
 */
final class ServiceRetryBudget {

	/**
	 * Share of the fleet's bound that is used; the rest covers replaced instances that
	 * are not known yet.
	 */
	private static final double USED_SHARE = 0.7;

	private RetryBounds bounds;

	private final Deque<Long> requestMillis = new ArrayDeque<>();

	private final Deque<Long> retryMillis = new ArrayDeque<>();

	ServiceRetryBudget(RetryBounds bounds) {
		this.bounds = bounds;
	}

	void setBounds(RetryBounds current) {
		this.bounds = current;
	}

	void recordRequest(long nowMillis) {
		this.requestMillis.addLast(nowMillis);
		expire(nowMillis);
	}

	/**
	 * Takes a retry if there is one.
	 * @param part part of the fleet's extra retries that this instance may use
	 * @param nowMillis the current time
	 * @return false if the retry would exceed this instance's share
	 */
	boolean tryAcquire(double part, long nowMillis) {
		expire(nowMillis);
		double allowed = USED_SHARE * (this.bounds.ratio() * this.requestMillis.size() + part * this.bounds.extra());
		if (this.retryMillis.size() + 1 > allowed) {
			return false;
		}
		this.retryMillis.addLast(nowMillis);
		return true;
	}

	private void expire(long nowMillis) {
		expire(this.requestMillis, nowMillis);
		expire(this.retryMillis, nowMillis);
	}

	private void expire(Deque<Long> times, long nowMillis) {
		while (!times.isEmpty() && nowMillis - times.peekFirst() > this.bounds.windowMillis()) {
			times.removeFirst();
		}
	}

}
