package io.mulberrylift.testkit.engine;

/**
 * Faults of one stream of tokens.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param stopAfterTokens number of tokens after which the stream fails, -1 for never
 * @param errorLine whether the failing stream ends with an error line instead of a closed
 * connection
 * @param duplicate whether each line of tokens is sent twice
 * @param reorder whether each pair of lines of tokens changes places
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
