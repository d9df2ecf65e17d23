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

	/**
	 * Time that a stream needs to begin at another endpoint beyond the expected one, in
	 * milliseconds.
	 */
	private static final long MOVE_MILLIS = 200;

	/** Ratio of the time to the first token that is allowed for to the expected one. */
	private static final double FIRST_TOKEN_FACTOR = 1.5;

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
	 * Returns the time after which another peer is tried.
	 * @param route the route
	 * @return the time in milliseconds
	 */
	static long lastMillis(Route route) {
		return (long) (LAST_SHARE * callerMillis(route));
	}

	/**
	 * Returns the time after which a stream whose endpoint lives is moved: as late as
	 * another endpoint can begin before the caller leaves.
	 * @param route the route
	 * @param expectedFirstTokenMillis expected time to the first token
	 * @return the time in milliseconds, at least {@link #lastMillis}
	 */
	static long lastMoveMillis(Route route, double expectedFirstTokenMillis) {
		long neededMillis = MOVE_MILLIS + (long) (FIRST_TOKEN_FACTOR * expectedFirstTokenMillis);
		return Math.max(lastMillis(route), callerMillis(route) - neededMillis);
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
