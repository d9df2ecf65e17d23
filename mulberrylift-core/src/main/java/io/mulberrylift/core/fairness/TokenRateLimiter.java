package io.mulberrylift.core.fairness;

import java.util.HashMap;
import java.util.Map;

import io.mulberrylift.core.model.WorkspaceId;

/**
 * Token buckets that limit the prompt and output tokens per second of each workspace at
 * this instance: its limit for the whole fleet divided by the number of live instances.
 *
 * <p>
 * Not thread-safe; owned by the scheduler. The division assumes a load balancer in front
 * of the instances, so that each receives about the same share of a workspace's requests.
 * A bucket holds the tokens of ten seconds. A request larger than that is admitted when
 * the bucket is full and makes its balance negative, which delays later requests.
 * </p>
 */
public final class TokenRateLimiter {

	private static final double BURST_SECONDS = 10;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Map<WorkspaceId, Bucket> buckets = new HashMap<>();

	/**
	 * Creates a limiter with full buckets.
	 */
	public TokenRateLimiter() {
	}

	/**
	 * Takes tokens from a workspace's bucket, if it holds enough.
	 * @param workspace the workspace
	 * @param tokens prompt and output tokens of the request
	 * @param maxTokensPerSecond limit for the whole fleet, 0 for no limit
	 * @param liveInstances number of instances that share the limit, at least 1
	 * @param nowMonotonicMillis the current time
	 * @return 0 if the tokens were taken, otherwise the time in milliseconds until the
	 * bucket holds enough
	 */
	public long tryAcquire(WorkspaceId workspace, long tokens, long maxTokensPerSecond, int liveInstances,
			long nowMonotonicMillis) {
		if (maxTokensPerSecond == 0) {
			return 0;
		}
		double tokensPerMilli = maxTokensPerSecond / MILLIS_PER_SECOND / liveInstances;
		double capacityTokens = tokensPerMilli * BURST_SECONDS * MILLIS_PER_SECOND;
		Bucket bucket = this.buckets.computeIfAbsent(workspace, (key) -> new Bucket(capacityTokens));
		bucket.refill(tokensPerMilli, capacityTokens, nowMonotonicMillis);
		double missing = Math.min(tokens, capacityTokens) - bucket.tokens;
		if (missing > 0) {
			return (long) Math.ceil(missing / tokensPerMilli);
		}
		bucket.tokens -= tokens;
		return 0;
	}

	private static final class Bucket {

		private double tokens;

		private long refilledMonotonicMillis = Long.MIN_VALUE;

		Bucket(double tokens) {
			this.tokens = tokens;
		}

		void refill(double tokensPerMilli, double capacityTokens, long nowMonotonicMillis) {
			if (this.refilledMonotonicMillis != Long.MIN_VALUE) {
				this.tokens += tokensPerMilli * (nowMonotonicMillis - this.refilledMonotonicMillis);
			}
			this.tokens = Math.min(capacityTokens, this.tokens);
			this.refilledMonotonicMillis = nowMonotonicMillis;
		}

	}

}
