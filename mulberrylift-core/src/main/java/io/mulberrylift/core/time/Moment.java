package io.mulberrylift.core.time;

/**
 * A point in time as read by the embedding process: a monotonic clock reading for
 * durations and a wall clock reading for comparisons with other processes.
 *
 * <p>
 * Immutable and thread-safe. Monotonic readings of different processes must not be
 * compared with each other.
 * </p>
 *
 * @param monotonicMillis monotonic clock in milliseconds from an arbitrary origin
 * @param epochMillis wall clock in milliseconds since the epoch
 */
public record Moment(long monotonicMillis, long epochMillis) {

	/**
	 * Returns this moment shifted by a duration on both clocks.
	 * @param durationMillis the duration in milliseconds, may be negative
	 * @return the shifted moment
	 */
	public Moment plusMillis(long durationMillis) {
		return new Moment(this.monotonicMillis + durationMillis, this.epochMillis + durationMillis);
	}

}
