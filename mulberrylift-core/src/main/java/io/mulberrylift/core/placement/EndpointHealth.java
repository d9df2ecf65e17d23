package io.mulberrylift.core.placement;

import java.util.Optional;

/**
 * Health of an endpoint, derived from the outcomes of recent attempts.
 *
 * <p>
 * Not thread-safe. After a fault, the endpoint is avoided for a time that doubles with
 * each further fault. The first success ends the avoidance.
 * </p>
 */
public final class EndpointHealth {

	/** Time for which an endpoint is avoided after its first fault, in milliseconds. */
	public static final long INITIAL_AVOIDANCE_MILLIS = 400;

	/**
	 * Maximum time for which an endpoint is avoided, in milliseconds; shorter than a
	 * restart usually takes.
	 */
	public static final long MAX_AVOIDANCE_MILLIS = 4000;

	/** Time in the far past; differences to it do not overflow. */
	private static final long NEVER = Long.MIN_VALUE / 2;

	private static final int MAX_DOUBLINGS = 5;

	private static final double FAILURE_WEIGHT = 0.15;

	private int consecutiveFaults;

	private double failureRate;

	private long avoidUntilMillis = NEVER;

	private long reportedAvoidUntilMillis = NEVER;

	private Optional<ObservedLoad> load = Optional.empty();

	private long loadObservedMillis = NEVER;

	private long lastActivityMillis = NEVER;

	private long lastSignMillis = NEVER;

	private long lastProbeMillis = NEVER;

	/**
	 * Records a successful attempt and ends any avoidance.
	 */
	public void recordSuccess() {
		this.consecutiveFaults = 0;
		this.avoidUntilMillis = NEVER;
		this.reportedAvoidUntilMillis = NEVER;
		this.failureRate *= 1 - FAILURE_WEIGHT;
	}

	/**
	 * Records a fault. The endpoint is avoided from now on.
	 * @param nowMillis the current time
	 */
	public void recordFault(long nowMillis) {
		recordFailure();
		int doublings = Math.min(this.consecutiveFaults, MAX_DOUBLINGS);
		this.consecutiveFaults++;
		this.avoidUntilMillis = nowMillis + Math.min(MAX_AVOIDANCE_MILLIS, INITIAL_AVOIDANCE_MILLIS << doublings);
	}

	/**
	 * Records a failed attempt, which raises the failure rate but does not cause
	 * avoidance.
	 */
	public void recordFailure() {
		this.failureRate += FAILURE_WEIGHT * (1 - this.failureRate);
	}

	/**
	 * Avoids the endpoint because a peer or another endpoint reported a fault. Faults
	 * that this instance observes are kept separately and a success ends both.
	 * @param untilMillis end of the avoidance
	 */
	public void avoidOnReport(long untilMillis) {
		this.reportedAvoidUntilMillis = untilMillis;
	}

	/**
	 * Records the load that the endpoint reported.
	 * @param reported the load
	 * @param nowMillis the current time
	 */
	public void recordLoad(ObservedLoad reported, long nowMillis) {
		this.load = Optional.of(reported);
		this.loadObservedMillis = nowMillis;
	}

	/**
	 * Returns the load that the endpoint reported last.
	 * @param nowMillis the current time
	 * @param maxAgeMillis maximum age of the report
	 * @return the load, empty if the report is older or there is none
	 */
	public Optional<ObservedLoad> load(long nowMillis, long maxAgeMillis) {
		return this.load.filter((reported) -> nowMillis - this.loadObservedMillis <= maxAgeMillis);
	}

	/**
	 * Records that bytes of an answer were received from the endpoint.
	 * @param nowMillis the current time
	 */
	public void recordActivity(long nowMillis) {
		this.lastActivityMillis = nowMillis;
	}

	/**
	 * Returns when bytes of any answer were last received.
	 * @return the time in milliseconds, in the far past for never
	 */
	public long lastActivityMillis() {
		return this.lastActivityMillis;
	}

	/**
	 * Records that the endpoint showed that it lives: a connection was established or the
	 * head of an answer was received.
	 * @param nowMillis the current time
	 */
	public void recordSign(long nowMillis) {
		this.lastSignMillis = nowMillis;
	}

	/**
	 * Returns when the endpoint last showed that it lives.
	 * @return the time in milliseconds, in the far past for never
	 */
	public long lastSignMillis() {
		return this.lastSignMillis;
	}

	/**
	 * Records that a connection is tried to learn whether the endpoint lives.
	 * @param nowMillis the current time
	 */
	public void recordProbe(long nowMillis) {
		this.lastProbeMillis = nowMillis;
	}

	/**
	 * Returns when a connection was last tried to learn whether the endpoint lives.
	 * @return the time in milliseconds, in the far past for never
	 */
	public long lastProbeMillis() {
		return this.lastProbeMillis;
	}

	/**
	 * Returns whether the endpoint is avoided, by own observation or by report.
	 * @param nowMillis the current time
	 * @return true if it is avoided
	 */
	public boolean isAvoided(long nowMillis) {
		return nowMillis < Math.max(this.avoidUntilMillis, this.reportedAvoidUntilMillis);
	}

	/**
	 * Returns the remaining time for which the endpoint is avoided because of faults that
	 * this instance observed.
	 * @param nowMillis the current time
	 * @return the time in milliseconds, 0 if it is not avoided for that reason
	 */
	public long remainingAvoidanceMillis(long nowMillis) {
		return Math.max(0, this.avoidUntilMillis - nowMillis);
	}

	/**
	 * Returns the exponentially smoothed share of failed attempts.
	 * @return a number from 0 to 1
	 */
	public double failureRate() {
		return this.failureRate;
	}

}
