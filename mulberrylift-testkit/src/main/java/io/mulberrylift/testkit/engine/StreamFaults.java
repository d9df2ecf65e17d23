package io.mulberrylift.testkit.engine;

/**
 * Injected faults of a token stream.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param stopAfterTokens number of new tokens after which the stream fails, -1 for never
 * @param errorLine whether a failing stream ends with an error line instead of a closed
 * connection
 * @param duplicate whether lines of tokens are sent twice
 * @param reorder whether the lines of tokens are swapped pairwise
 */
record StreamFaults(int stopAfterTokens, boolean errorLine, boolean duplicate, boolean reorder) {

	static final StreamFaults NONE = new StreamFaults(-1, false, false, false);

	StreamFaults withStop(int afterTokens, boolean line) {
		return new StreamFaults(afterTokens, line, this.duplicate, this.reorder);
	}

	StreamFaults withDuplicate() {
		return new StreamFaults(this.stopAfterTokens, this.errorLine, true, this.reorder);
	}

	StreamFaults withReorder() {
		return new StreamFaults(this.stopAfterTokens, this.errorLine, this.duplicate, true);
	}

}
