package io.mulberrylift.core.forwarding;

/**
 * Bounds of the retries that all instances together may send to a service.
 *
 * @param ratio retries per request
 * @param windowMillis length of the sliding window
 * @param extra retries per window in addition to the ratio
 */
public record RetryBounds(double ratio, long windowMillis, int extra) {

	/**
	 * Creates the bounds.
	 * @throws IllegalArgumentException if a number is negative or the window is empty
	 */
	public RetryBounds {
		if (ratio < 0 || extra < 0 || windowMillis < 1) {
			throw new IllegalArgumentException(
					"Retry ratio and extra must not be negative and the window must be at least 1 ms");
		}
	}

}
