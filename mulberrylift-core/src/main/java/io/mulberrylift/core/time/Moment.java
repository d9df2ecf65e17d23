package io.mulberrylift.core.time;

/**
 * A point in time as read by the embedding process: a monotonic reading for durations and
 * a wall clock reading for comparisons with other processes.
 *
 * <p>
 * Immutable and safe for use by several threads. Monotonic readings of different
 * processes must not be compared with each other.
 * </p>
 *
 * @param monotonicMillis monotonic clock in milliseconds from an arbitrary origin
 * @param epochMillis wall clock in milliseconds since the epoch
 */
public record Moment(long monotonicMillis, long epochMillis) {

	/**
	 * Returns the moment that lies the given time after this one on both clocks.
	 * @param durationMillis the distance in milliseconds, may be negative
	 * @return the shifted moment
	 */
	public Moment plusMillis(long durationMillis) {
		return new Moment(this.monotonicMillis + durationMillis, this.epochMillis + durationMillis);
	}

}
