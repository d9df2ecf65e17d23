package io.mulberrylift.core.fairness;

import java.util.HashMap;
import java.util.Map;

import io.mulberrylift.core.model.WorkspaceId;

/**
 * Limits the tokens that each workspace may use at this instance: its limit for the whole
 * fleet divided by the number of live instances.
 *
 * <p>
 * Not safe for use by several threads; owned by the scheduler. Callers reach the
 * instances through a balancer, so that each sees about the same part of a workspace's
 * requests. A workspace may save up the allowance of ten seconds; a request larger than
 * that passes when the whole saving is there, and leaves a debt that later requests wait
 * for.
 * </p>
 */
public final class TokenRateLimiter {

	private static final double BURST_SECONDS = 10;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Map<WorkspaceId, Balance> buckets = new HashMap<>();

	/**
	 * Creates the limits before any use.
	 */
	public TokenRateLimiter() {
	}

	/**
	 * Takes tokens from a workspace's allowance.
	 * @param workspace the workspace
	 * @param tokens the tokens
	 * @param maxTokensPerSecond limit for the whole fleet, 0 for none
	 * @param liveInstances number of instances that share the limit, at least 1
	 * @param nowMonotonicMillis the current time
	 * @return 0 when the tokens were taken, otherwise the time in milliseconds after
	 * which they can be
	 */
	public long tryAcquire(WorkspaceId workspace, long tokens, long maxTokensPerSecond, int liveInstances,
			long nowMonotonicMillis) {
		if (maxTokensPerSecond == 0) {
			return 0;
		}
		double tokensPerMilli = maxTokensPerSecond / MILLIS_PER_SECOND / liveInstances;
		double mostTokens = tokensPerMilli * BURST_SECONDS * MILLIS_PER_SECOND;
		Balance balance = this.buckets.computeIfAbsent(workspace, (key) -> new Balance(mostTokens));
		balance.refill(tokensPerMilli, mostTokens, nowMonotonicMillis);
		double missing = Math.min(tokens, mostTokens) - balance.tokens;
		if (missing > 0) {
			return (long) Math.ceil(missing / tokensPerMilli);
		}
		balance.tokens -= tokens;
		return 0;
	}

	private static final class Balance {

		private double tokens;

		private long refilledMonotonicMillis = Long.MIN_VALUE;

		Balance(double tokens) {
			this.tokens = tokens;
		}

		void refill(double tokensPerMilli, double mostTokens, long nowMonotonicMillis) {
			if (this.refilledMonotonicMillis != Long.MIN_VALUE) {
				this.tokens += tokensPerMilli * (nowMonotonicMillis - this.refilledMonotonicMillis);
			}
			this.tokens = Math.min(mostTokens, this.tokens);
			this.refilledMonotonicMillis = nowMonotonicMillis;
		}

	}

}
