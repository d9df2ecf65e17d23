package io.mulberrylift.core.placement;

/**
 * What a prompt asks of the engines.
 *
 * @param promptTokens tokens to read
 * @param maxOutputTokens tokens to write at most
 * @param firstTokenTimeLeftMillis time until its first token is due, may be negative
 * @param timeLeftMillis time until its final answer must be there
 * @param gapTargetMillis longest pause of its answer that is on time
 */
public record PromptDemand(long promptTokens, long maxOutputTokens, long firstTokenTimeLeftMillis, long timeLeftMillis,
		long gapTargetMillis) {

	private static final double TOKENS_OF_UNIT_WEIGHT = 14_000;

	/**
	 * Returns what the lateness of the answer costs relative to that of a short prompt:
	 * benefit grows with the size of a prompt.
	 * @return at least 1
	 */
	public double weight() {
		return Math.max(1, this.promptTokens / TOKENS_OF_UNIT_WEIGHT);
	}

	/**
	 * Returns the engine memory of the request.
	 * @return prompt and answer in tokens
	 */
	public long memoryTokens() {
		return this.promptTokens + this.maxOutputTokens;
	}

}
