package io.mulberrylift.core.forwarding;

import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.placement.Placement;

/**
 * An attempt whose stream has begun and is silent, while another attempt is to resume the
 * stream elsewhere. Whichever sends the next chunk goes on. Immutable.
 *
 * @param attemptId the attempt
 * @param placement where it runs
 * @param sentMillis when it was sent
 * @param firstChunkMillis when its first chunk was received
 * @param lastChunkMillis when its last chunk was received
 * @param longestGapMillis longest time between two of its chunks
 */
record SilentAttempt(long attemptId, Placement placement, long sentMillis, long firstChunkMillis, long lastChunkMillis,
		long longestGapMillis) {

	SilentAttempt {
		Objects.requireNonNull(placement, "placement");
	}

	/**
	 * Returns the attempt in progress of a request.
	 * @param state the request, whose stream has begun
	 * @return the attempt
	 */
	static SilentAttempt of(ForwardState state) {
		return new SilentAttempt(state.attemptId, state.placement, state.sentMillis, state.firstChunkMillis,
				state.lastChunkMillis, state.longestGapMillis);
	}

	/**
	 * Makes this the attempt in progress of its request again. It waits for further
	 * chunks without a limit but the deadline, since no attempt is left to move it.
	 * @param state the request
	 */
	void restore(ForwardState state) {
		state.silentAttempt = Optional.empty();
		state.attemptId = this.attemptId;
		state.relayPeer = Optional.empty();
		state.placement = this.placement;
		state.sentMillis = this.sentMillis;
		state.firstChunkMillis = this.firstChunkMillis;
		state.lastChunkMillis = this.lastChunkMillis;
		state.longestGapMillis = this.longestGapMillis;
		state.attemptStarted = true;
		state.readingPaused = false;
		state.stallDeadlineMillis = Long.MAX_VALUE;
	}

}
