package io.mulberrylift.core.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This instance's share of the repeats that a service may get from the whole fleet in a
 * sliding window.
 *
 * <p>
 * The fleet's bound is a ratio of the requests plus a fixed extra. An instance uses its
 * own requests for the ratio and an equal part of the extra, so that the sum over all
 * instances keeps the bound without coordination. Not safe for use by several threads.
 * </p>
 */
final class ServiceRetryBudget {

	/** Part of the fleet's bound that is used; the rest covers unknown instances. */
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

	boolean tryAcquire(int instances, long nowMillis) {
		expire(nowMillis);
		double allowed = USED_SHARE * (this.bounds.ratio() * this.requestMillis.size()
				+ this.bounds.extra() / (double) Math.max(1, instances));
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
