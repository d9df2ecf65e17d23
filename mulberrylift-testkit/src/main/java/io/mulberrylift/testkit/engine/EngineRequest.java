package io.mulberrylift.testkit.engine;

import java.util.Objects;
import java.util.Optional;

/**
 * Request to the timing model, which contains sizes instead of text.
 *
 * <p>
 * Immutable as long as the array of prefix blocks is not modified, which the creator
 * guarantees. Two requests are equal only if they share that array.
 * </p>
 *
 * @param id id chosen by the sender, unique among the requests of one engine
 * @param priority the priority; higher values are processed first
 * @param promptTokens length of the prompt in tokens
 * @param answerTokens length of the complete answer in tokens, counted from offset 0
 * @param resumeOffset number of answer tokens that the caller already has
 * @param prefixBlocks opaque keys of the prompt's full blocks, empty for none
 * @param holds holds whose memory the request uses, empty to use the engine's free memory
 */
public record EngineRequest(long id, int priority, int promptTokens, int answerTokens, int resumeOffset,
		long[] prefixBlocks, Optional<HoldUse> holds) {

	/**
	 * Creates the request.
	 * @throws NullPointerException if an object argument is null
	 * @throws IllegalArgumentException if a length is out of range
	 */
	public EngineRequest {
		Objects.requireNonNull(prefixBlocks, "prefixBlocks");
		Objects.requireNonNull(holds, "holds");
		if (promptTokens < 1 || answerTokens < 1 || resumeOffset < 0) {
			throw new IllegalArgumentException(
					"promptTokens and answerTokens must be positive and resumeOffset must not be negative");
		}
	}

	/**
	 * Creates a request that starts at offset 0 and uses no holds.
	 * @param id the request id
	 * @param priority the priority; higher values are processed first
	 * @param promptTokens length of the prompt in tokens
	 * @param answerTokens length of the answer in tokens
	 * @param prefixBlocks keys of the prompt's full blocks
	 * @return the request
	 */
	public static EngineRequest of(long id, int priority, int promptTokens, int answerTokens, long... prefixBlocks) {
		return new EngineRequest(id, priority, promptTokens, answerTokens, 0, prefixBlocks, Optional.empty());
	}

	/**
	 * Returns the memory that the request needs for its prompt and complete answer.
	 * @return the memory in tokens
	 */
	public long memoryTokens() {
		return (long) this.promptTokens + this.answerTokens;
	}

}
