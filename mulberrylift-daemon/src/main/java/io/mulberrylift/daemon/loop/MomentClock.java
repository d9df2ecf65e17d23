package io.mulberrylift.daemon.loop;

import io.mulberrylift.core.time.Moment;

/**
 * Reads the machine's clocks.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
public final class MomentClock {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Returns the current moment.
	 * @return monotonic and wall clock
	 */
	public Moment now() {
		return new Moment(monotonicMillis(), System.currentTimeMillis());
	}

	/**
	 * Returns the monotonic clock alone.
	 * @return milliseconds from an arbitrary origin
	 */
	public long monotonicMillis() {
		return System.nanoTime() / NANOS_PER_MILLI;
	}

}
