package io.mulberrylift.testkit.engine;

import java.util.Objects;
import java.util.Optional;

/**
 * A request as the timing model sees it: sizes without text.
 *
 * <p>
 * Immutable as long as the array of prefix blocks is left unchanged, which the creator
 * guarantees. Two requests are equal only when they share that array.
 * </p>
 *
 * @param id identity chosen by the sender, unique among the requests of one engine
 * @param priority higher goes first
 * @param promptTokens length of the prompt in tokens
 * @param answerTokens length of the whole answer in tokens, counted from offset 0
 * @param resumeOffset number of answer tokens that the caller already has
 * @param prefixBlocks opaque keys of the prompt's whole blocks, empty for none
 * @param holds memory that backs the request, empty to use the engine's free memory
 */
public record EngineRequest(long id, int priority, int promptTokens, int answerTokens, int resumeOffset,
		long[] prefixBlocks, Optional<HoldUse> holds) {

	/**
	 * Creates the request.
	 * @throws NullPointerException if a reference is null
	 * @throws IllegalArgumentException if a length is out of range
	 */
	public EngineRequest {
		Objects.requireNonNull(prefixBlocks, "prefixBlocks");
		Objects.requireNonNull(holds, "holds");
		if (promptTokens < 1 || answerTokens < 1 || resumeOffset < 0) {
			throw new IllegalArgumentException(
					"A request needs at least one prompt token, one answer token and an offset of 0 or more");
		}
	}

	/**
	 * Creates a request without resumption and holds.
	 * @param id identity
	 * @param priority higher goes first
	 * @param promptTokens length of the prompt in tokens
	 * @param answerTokens length of the answer in tokens
	 * @param prefixBlocks keys of the prompt's whole blocks
	 * @return the request
	 */
	public static EngineRequest of(long id, int priority, int promptTokens, int answerTokens, long... prefixBlocks) {
		return new EngineRequest(id, priority, promptTokens, answerTokens, 0, prefixBlocks, Optional.empty());
	}

	/**
	 * Returns the memory that the request needs at its end.
	 * @return prompt and answer together, in tokens
	 */
	public long memoryTokens() {
		return (long) this.promptTokens + this.answerTokens;
	}

}
