package io.mulberrylift.core.placement;

/**
 * Resource demand and timing targets of a prompt.
 *
 * @param promptTokens number of prompt tokens
 * @param maxOutputTokens maximum number of output tokens
 * @param firstTokenTimeLeftMillis time until its first token is due; negative if overdue
 * @param timeLeftMillis time until the deadline of its answer
 * @param gapTargetMillis maximum time between two tokens of its answer that meets its
 * target
 */
public record PromptDemand(long promptTokens, long maxOutputTokens, long firstTokenTimeLeftMillis, long timeLeftMillis,
		long gapTargetMillis) {

	private static final double UNIT_WEIGHT_TOKENS = 14_000;

	/**
	 * Returns the cost of a late answer relative to that of a short prompt. It grows with
	 * the size of the prompt, as the benefit of an answer does.
	 * @return at least 1
	 */
	public double weight() {
		return Math.max(1, this.promptTokens / UNIT_WEIGHT_TOKENS);
	}

	/**
	 * Returns the engine memory that the request needs.
	 * @return the sum of prompt and output tokens
	 */
	public long memoryTokens() {
		return this.promptTokens + this.maxOutputTokens;
	}

}
