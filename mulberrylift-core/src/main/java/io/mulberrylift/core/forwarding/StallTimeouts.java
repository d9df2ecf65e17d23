package io.mulberrylift.core.forwarding;

/**
 * Times without a chunk of an answer after which something is done about it. Stateless
 * and thread-safe.
 */
final class StallTimeouts {

	/** Part of the time after which callers leave that a stalled stream waits. */
	private static final double SHARE = 0.45;

	/**
	 * The same if the endpoint is busy with other requests, or a peer, which moves the
	 * stream itself unless it is suspended, has the request.
	 */
	private static final double LAST_SHARE = 0.75;

	/** Minimum time after which callers leave. */
	private static final long MIN_CALLER_MILLIS = 2000;

	private StallTimeouts() {
	}

	/**
	 * Returns the time after which another endpoint is tried, well below that after which
	 * callers leave.
	 * @param route the route
	 * @return the time in milliseconds
	 */
	static long millis(Route route) {
		return (long) (SHARE * callerMillis(route));
	}

	/**
	 * Returns the time after which another endpoint is tried although the endpoint is
	 * busy, or another peer.
	 * @param route the route
	 * @return the time in milliseconds
	 */
	static long lastMillis(Route route) {
		return (long) (LAST_SHARE * callerMillis(route));
	}

	/**
	 * Returns the time after which callers leave.
	 * @param route the route
	 * @return the time in milliseconds
	 */
	static long callerMillis(Route route) {
		return Math.max(MIN_CALLER_MILLIS, Math.max(4 * route.firstByteTargetMillis(), 8 * route.gapTargetMillis()));
	}

}
