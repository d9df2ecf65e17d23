package io.mulberrylift.daemon.loop;

import io.mulberrylift.core.time.Moment;

/**
 * Reads the system clocks.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
public final class MomentClock {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Reads both clocks.
	 * @return monotonic time and wall-clock time in milliseconds
	 */
	public Moment now() {
		return new Moment(monotonicMillis(), System.currentTimeMillis());
	}

	/**
	 * Reads the monotonic clock only.
	 * @return milliseconds from an arbitrary origin
	 */
	public long monotonicMillis() {
		return System.nanoTime() / NANOS_PER_MILLI;
	}

}
