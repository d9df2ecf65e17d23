package io.mulberrylift.testkit.engine;

/**
 * Listener for the events of a timing model. The default methods do nothing.
 *
 * <p>
 * Called in chronological order by the thread that advances the model. Implementations
 * must not call the model.
 * </p>
 */
public interface EngineListener {

	/** Listener that ignores all events. */
	EngineListener NONE = new EngineListener() {
	};

	/**
	 * Called when a step has ended.
	 * @param atMicros end time of the step in microseconds
	 * @param durationMicros duration of the step in microseconds
	 * @param decodingSequences number of sequences that decoded a token
	 * @param prefillTokens number of prompt tokens processed
	 */
	default void stepped(long atMicros, long durationMicros, int decodingSequences, int prefillTokens) {
	}

	/**
	 * Called when a request has been added to the batch.
	 * @param atMicros the time in microseconds
	 * @param requestId id of the request
	 * @param cachedTokens prompt tokens taken from the prefix cache
	 */
	default void admitted(long atMicros, long requestId, int cachedTokens) {
	}

	/**
	 * Called when a request has generated tokens.
	 * @param atMicros the time in microseconds
	 * @param requestId id of the request
	 * @param offset position of the first generated token in the answer
	 * @param count number of generated tokens, at least 1
	 */
	default void generated(long atMicros, long requestId, int offset, int count) {
	}

	/**
	 * Called when a request has finished and its memory has been freed.
	 * @param atMicros the time in microseconds
	 * @param requestId id of the request
	 * @param cachedTokens prompt tokens taken from the prefix cache
	 * @param answerTokens length of the answer counted from offset 0
	 */
	default void ended(long atMicros, long requestId, int cachedTokens, int answerTokens) {
	}

	/**
	 * Called when a hold has expired and its memory has been freed.
	 * @param atMicros the time in microseconds
	 * @param key key of the hold
	 */
	default void holdExpired(long atMicros, HoldKey key) {
	}

	/**
	 * Called when cached blocks have been evicted to free memory.
	 * @param atMicros the time in microseconds
	 * @param blocks number of evicted blocks
	 */
	default void evicted(long atMicros, int blocks) {
	}

}
