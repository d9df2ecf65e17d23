package io.mulberrylift.core.forwarding;

/**
 * Size and time limits of a caller's connection.
 *
 * @param maxHeaderBytes maximum size of a request head in bytes
 * @param maxBodyBytes maximum size of a request body in bytes
 * @param headerTimeoutMillis maximum time from the first byte of a request head to its
 * last
 * @param idleTimeoutMillis maximum time that a connection may stay open without a request
 */
public record ClientLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	/** Limits that apply before a configuration has been read. */
	public static final ClientLimits DEFAULT = new ClientLimits(16384, 4194304, 3000, 10000);

	/**
	 * Creates the limits.
	 * @throws IllegalArgumentException if a limit is not positive; only the body size may
	 * be 0
	 */
	public ClientLimits {
		if (maxHeaderBytes < 1 || maxBodyBytes < 0 || headerTimeoutMillis < 1 || idleTimeoutMillis < 1) {
			throw new IllegalArgumentException("Caller limits must be positive; maxBodyBytes may be 0");
		}
	}

}
