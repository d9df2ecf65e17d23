package io.mulberrylift.core.placement;

/**
 * Cost model of the engines of a service, as published in the configuration.
 *
 * <p>
 * An engine works in iterations. An iteration with decoding requests runs
 * {@code stepsPerIteration} decode steps, each of which produces one token per request,
 * and prefills at most {@code prefillChunkTokens} prompt tokens per step. Immutable.
 * </p>
 *
 * @param decodeStepMillis base time of a decode step
 * @param perSequenceMillis time added to a decode step by each decoding request
 * @param perThousandContextTokensMillis time added to a decode step by each 1,000 tokens
 * of context
 * @param prefillTokensPerMilli prompt tokens prefilled per millisecond, without attention
 * @param perMillionTokenPairsMillis prefill time of attention over a million pairs of a
 * prompt token and an earlier one
 * @param prefillChunkTokens maximum number of prompt tokens prefilled per decode step
 * @param stepsPerIteration number of decode steps of an iteration with decoding requests
 * @param memoryTokens capacity of an engine's memory in tokens
 */
public record EngineCostModel(double decodeStepMillis, double perSequenceMillis, double perThousandContextTokensMillis,
		double prefillTokensPerMilli, double perMillionTokenPairsMillis, int prefillChunkTokens, int stepsPerIteration,
		long memoryTokens) {

	private static final double MILLION = 1e6;

	private static final double THOUSAND = 1e3;

	/**
	 * Creates the model.
	 * @throws IllegalArgumentException if the prefill rate, the chunk size, the number of
	 * steps or the memory size is not positive
	 */
	public EngineCostModel {
		if (prefillTokensPerMilli <= 0 || prefillChunkTokens < 1 || stepsPerIteration < 1 || memoryTokens < 1) {
			throw new IllegalArgumentException(
					"Engine cost model must have a positive prefill rate, chunk size, step count and memory size");
		}
	}

	/**
	 * Returns the prefill time of one of several equal parts of a prompt.
	 * @param promptTokens tokens of the entire prompt
	 * @param parts number of parts, at least 1
	 * @return the time in milliseconds on an idle engine
	 */
	public double partPrefillMillis(long promptTokens, int parts) {
		double pairs = 0.5 * promptTokens * promptTokens / MILLION;
		return (promptTokens / this.prefillTokensPerMilli + pairs * this.perMillionTokenPairsMillis) / parts;
	}

	/**
	 * Returns the time of the decode steps of one iteration, without prefill.
	 * @param decodingRequests number of decoding requests
	 * @param contextTokens sum of their contexts in tokens
	 * @return the time in milliseconds; 0 without decoding requests
	 */
	public double iterationDecodeMillis(int decodingRequests, long contextTokens) {
		if (decodingRequests == 0) {
			return 0;
		}
		return this.stepsPerIteration * (this.decodeStepMillis + decodingRequests * this.perSequenceMillis
				+ contextTokens / THOUSAND * this.perThousandContextTokensMillis);
	}

	/**
	 * Returns the time of an iteration that generates one answer and prefills as many
	 * tokens as it may, without attention.
	 * @return the time in milliseconds
	 */
	public double fullIterationMillis() {
		return iterationDecodeMillis(1, 0) + prefillTokensPerIteration() / this.prefillTokensPerMilli;
	}

	/**
	 * Returns the maximum prefill time that a prompt adds to one iteration with decoding
	 * requests.
	 * @param totalPrefillMillis prefill time of the entire prompt on one idle engine
	 * @return the time in milliseconds; larger for long prompts, whose tokens attend to
	 * more earlier ones
	 */
	public double iterationPrefillMillis(double totalPrefillMillis) {
		if (totalPrefillMillis <= 0) {
			return 0;
		}
		return totalPrefillMillis * Math.min(1, prefillTokensPerIteration() / promptTokens(totalPrefillMillis));
	}

	/**
	 * Returns the number of tokens of a prompt.
	 * @param totalPrefillMillis prefill time of the entire prompt on one idle engine
	 * @return the number of tokens
	 */
	public double promptTokens(double totalPrefillMillis) {
		double perToken = 1 / this.prefillTokensPerMilli;
		double perPair = this.perMillionTokenPairsMillis / MILLION;
		return (perPair > 0) ? (Math.sqrt(perToken * perToken + 2 * perPair * totalPrefillMillis) - perToken) / perPair
				: totalPrefillMillis / perToken;
	}

	/**
	 * Returns the prefill time of the last token of a prompt, which attends to all
	 * others.
	 * @param totalPrefillMillis prefill time of the entire prompt on one idle engine
	 * @return the time in milliseconds
	 */
	public double maxTokenPrefillMillis(double totalPrefillMillis) {
		return 1 / this.prefillTokensPerMilli
				+ promptTokens(totalPrefillMillis) * this.perMillionTokenPairsMillis / MILLION;
	}

	/**
	 * Returns the maximum number of prompt tokens prefilled in one iteration with
	 * decoding requests.
	 * @return the number of tokens
	 */
	public long prefillTokensPerIteration() {
		return (long) this.stepsPerIteration * this.prefillChunkTokens;
	}

}
