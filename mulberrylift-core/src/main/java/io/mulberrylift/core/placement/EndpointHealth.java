package io.mulberrylift.core.placement;

import java.util.Optional;

/**
 * What the ends of recent attempts say about an endpoint.
 *
 * <p>
 * Not safe for use by several threads. After a fault the endpoint is avoided for a time
 * that doubles with each further fault and ends with the first success.
 * </p>
 */
public final class EndpointHealth {

	/** First time that an endpoint is avoided after a fault, in milliseconds. */
	public static final long INITIAL_AVOIDANCE_MILLIS = 400;

	/**
	 * Longest time that an endpoint is avoided, in milliseconds; below the usual time of
	 * a restart.
	 */
	public static final long MAX_AVOIDANCE_MILLIS = 4000;

	/** A time so early that differences to it do not overflow. */
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

	/**
	 * Records a good end.
	 */
	public void recordSuccess() {
		this.consecutiveFaults = 0;
		this.avoidUntilMillis = NEVER;
		this.reportedAvoidUntilMillis = NEVER;
		this.failureRate *= 1 - FAILURE_WEIGHT;
	}

	/**
	 * Records a fault after which the endpoint is avoided.
	 * @param nowMillis the current time
	 */
	public void recordFault(long nowMillis) {
		recordFailure();
		int doublings = Math.min(this.consecutiveFaults, MAX_DOUBLINGS);
		this.consecutiveFaults++;
		this.avoidUntilMillis = nowMillis + Math.min(MAX_AVOIDANCE_MILLIS, INITIAL_AVOIDANCE_MILLIS << doublings);
	}

	/**
	 * Records an end that lowers the endpoint's rank without avoiding it.
	 */
	public void recordFailure() {
		this.failureRate += FAILURE_WEIGHT * (1 - this.failureRate);
	}

	/**
	 * Avoids the endpoint because a peer does; what this instance sees itself goes first.
	 * @param untilMillis the time
	 */
	public void avoidOnReport(long untilMillis) {
		this.reportedAvoidUntilMillis = untilMillis;
	}

	/**
	 * Records the load that the endpoint stated.
	 * @param stated the load
	 * @param nowMillis the current time
	 */
	public void recordLoad(ObservedLoad stated, long nowMillis) {
		this.load = Optional.of(stated);
		this.loadObservedMillis = nowMillis;
	}

	/**
	 * Returns the load that the endpoint stated lately.
	 * @param nowMillis the current time
	 * @param maxAgeMillis largest age that still counts
	 * @return the load, empty when it is older or was never stated
	 */
	public Optional<ObservedLoad> load(long nowMillis, long maxAgeMillis) {
		return this.load.filter((stated) -> nowMillis - this.loadObservedMillis <= maxAgeMillis);
	}

	/**
	 * Records that bytes of an answer came from the endpoint.
	 * @param nowMillis the current time
	 */
	public void recordActivity(long nowMillis) {
		this.lastActivityMillis = nowMillis;
	}

	/**
	 * Returns whether bytes of any answer came lately.
	 * @param nowMillis the current time
	 * @param maxAgeMillis largest age that still counts
	 * @return true if so
	 */
	public boolean isActive(long nowMillis, long maxAgeMillis) {
		return nowMillis - this.lastActivityMillis <= maxAgeMillis;
	}

	/**
	 * Returns whether the endpoint is to be avoided.
	 * @param nowMillis the current time
	 * @return true if so
	 */
	public boolean isAvoided(long nowMillis) {
		return nowMillis < Math.max(this.avoidUntilMillis, this.reportedAvoidUntilMillis);
	}

	/**
	 * Returns how much longer the endpoint is avoided for what this instance saw itself.
	 * @param nowMillis the current time
	 * @return the time in milliseconds, 0 if it is not
	 */
	public long remainingAvoidanceMillis(long nowMillis) {
		return Math.max(0, this.avoidUntilMillis - nowMillis);
	}

	/**
	 * Returns the smoothed share of attempts that failed.
	 * @return a number from 0 to 1
	 */
	public double failureRate() {
		return this.failureRate;
	}

}
