package io.mulberrylift.core.forwarding;

import io.mulberrylift.core.placement.Placement;

/**
 * When a silent stream may be moved to another endpoint. Stateless and thread-safe.
 */
final class StreamMoves {

	private StreamMoves() {
	}

	/**
	 * Returns how long a stream has been silent, and when that matters.
	 * @param state the request, with an attempt at an endpoint in progress
	 * @return the silence
	 */
	static StallDetector.StreamSilence silence(ForwardState state) {
		long stallMillis = StallTimeouts.millis(state.route);
		long timeoutMillis = (state.attemptStarted) ? stallMillis
				: firstChunkTimeoutMillis(state.route, state.placement);
		return new StallDetector.StreamSilence(state.lastChunkMillis, state.attemptStarted, timeoutMillis, stallMillis,
				StallTimeouts.lastMoveMillis(state.route, state.placement.expectedFirstTokenMillis()),
				isMovable(state));
	}

	/**
	 * Returns whether a stream may be resumed at another endpoint.
	 * @param state the request
	 * @return false if it cannot be resumed or has no attempts left
	 */
	static boolean isMovable(ForwardState state) {
		return state.route.kind() == RequestKind.RESUMABLE_STREAM && state.reservations.isEmpty()
				&& state.sends < state.maxAttempts();
	}

	/**
	 * Returns whether the caller would leave before another endpoint resumes a stream.
	 * @param state the request
	 * @param placement the other endpoint
	 * @param nowMillis the current time
	 * @return true if it is not worth while to move the stream
	 */
	static boolean isTooLate(ForwardState state, Placement placement, long nowMillis) {
		double idleMillis = nowMillis - state.lastChunkMillis + placement.expectedFirstTokenMillis();
		return idleMillis > StallTimeouts.callerMillis(state.route);
	}

	private static long firstChunkTimeoutMillis(Route route, Placement placement) {
		return Math.max(StallTimeouts.millis(route), (long) (1.5 * placement.expectedFirstTokenMillis()) + 500);
	}

}
