package io.mulberrylift.testkit.engine;

/**
 * Faults of one stream of tokens.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param truncateAfterTokens number of tokens after which the connection closes, -1 for
 * never
 * @param duplicate whether each line of tokens is sent twice
 * @param reorder whether each pair of lines of tokens changes places
 */
record StreamFaults(int truncateAfterTokens, boolean duplicate, boolean reorder) {

	static final StreamFaults NONE = new StreamFaults(-1, false, false);

}
