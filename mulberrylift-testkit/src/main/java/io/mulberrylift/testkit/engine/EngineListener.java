package io.mulberrylift.testkit.engine;

/**
 * Receives what happens while a model advances. All methods do nothing unless overridden.
 *
 * <p>
 * Called by the thread that advances the model, in order of time. Implementations must
 * not call back into the model.
 * </p>
 */
public interface EngineListener {

	/** Ignores everything. */
	EngineListener NONE = new EngineListener() {
	};

	/**
	 * A step ended.
	 * @param atMicros the time of its end
	 * @param durationMicros how long it took
	 * @param decodingSequences number of sequences that decoded a token
	 * @param prefillTokens number of prompt tokens processed
	 */
	default void stepped(long atMicros, long durationMicros, int decodingSequences, int prefillTokens) {
	}

	/**
	 * A request was given its place in the batch.
	 * @param atMicros the time
	 * @param requestId the request
	 * @param cachedTokens prompt tokens taken from the prefix cache
	 */
	default void admitted(long atMicros, long requestId, int cachedTokens) {
	}

	/**
	 * A request generated tokens.
	 * @param atMicros the time
	 * @param requestId the request
	 * @param offset position of the first of them in the answer
	 * @param count how many, at least 1
	 */
	default void generated(long atMicros, long requestId, int offset, int count) {
	}

	/**
	 * A request finished and its memory is free.
	 * @param atMicros the time
	 * @param requestId the request
	 * @param cachedTokens prompt tokens taken from the prefix cache
	 * @param answerTokens length of the answer counted from offset 0
	 */
	default void ended(long atMicros, long requestId, int cachedTokens, int answerTokens) {
	}

	/**
	 * A hold was dropped because its time ran out.
	 * @param atMicros the time
	 * @param key the hold
	 */
	default void holdExpired(long atMicros, HoldKey key) {
	}

	/**
	 * Cached blocks were evicted to make room.
	 * @param atMicros the time
	 * @param blocks how many
	 */
	default void evicted(long atMicros, int blocks) {
	}

}
