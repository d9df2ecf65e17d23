package io.mulberrylift.core.placement;

/**
 * Published cost model of the engines of a service.
 *
 * <p>
 * An engine works in passes. A pass with writing requests runs {@code stride} token steps
 * and reads at most {@code chunkTokens} prompt tokens beside each step. Immutable.
 * </p>
 *
 * @param decodeStepMillis time of a token step
 * @param perSequenceMillis time added to a step by each writing request
 * @param perThousandContextTokensMillis time added to a step by each 1,000 tokens of
 * context
 * @param prefillTokensPerMilli prompt tokens read in a millisecond
 * @param perMillionTokenPairsMillis time of a million pairs of a token and an earlier one
 * @param prefillChunkTokens prompt tokens read beside a step at most
 * @param stepsPerIteration token steps of a pass that has writers
 * @param memoryTokens tokens that the memory of an engine holds
 */
public record EngineCostModel(double decodeStepMillis, double perSequenceMillis, double perThousandContextTokensMillis,
		double prefillTokensPerMilli, double perMillionTokenPairsMillis, int prefillChunkTokens, int stepsPerIteration,
		long memoryTokens) {

	private static final double MILLION = 1e6;

	private static final double THOUSAND = 1e3;

	/**
	 * Creates the model.
	 * @throws IllegalArgumentException if a rate or size is not positive
	 */
	public EngineCostModel {
		if (prefillTokensPerMilli <= 0 || prefillChunkTokens < 1 || stepsPerIteration < 1 || memoryTokens < 1) {
			throw new IllegalArgumentException("Rates and sizes of an engine must be positive");
		}
	}

	/**
	 * Returns the time that one of several equal parts of a prompt takes to read.
	 * @param promptTokens tokens of the whole prompt
	 * @param parts number of parts, at least 1
	 * @return the time in milliseconds on an idle engine
	 */
	public double partPrefillMillis(long promptTokens, int parts) {
		double pairs = 0.5 * promptTokens * promptTokens / MILLION;
		return (promptTokens / this.prefillTokensPerMilli + pairs * this.perMillionTokenPairsMillis) / parts;
	}

	/**
	 * Returns the time of the token steps of one pass, without reading.
	 * @param writers number of writing requests
	 * @param contextTokens sum of their contexts in tokens
	 * @return the time in milliseconds; 0 without writers
	 */
	public double iterationDecodeMillis(int writers, long contextTokens) {
		if (writers == 0) {
			return 0;
		}
		return this.stepsPerIteration * (this.decodeStepMillis + writers * this.perSequenceMillis
				+ contextTokens / THOUSAND * this.perThousandContextTokensMillis);
	}

	/**
	 * Returns how much of a prompt's reading one pass with writers holds at most.
	 * @param wholeReadMillis reading time of the whole prompt on one idle engine
	 * @return the time in milliseconds; larger for long prompts, whose tokens have more
	 * pairs
	 */
	public double iterationPrefillMillis(double wholeReadMillis) {
		if (wholeReadMillis <= 0) {
			return 0;
		}
		double perToken = 1 / this.prefillTokensPerMilli;
		double perPair = this.perMillionTokenPairsMillis / MILLION;
		double tokens = (perPair > 0)
				? (Math.sqrt(perToken * perToken + 2 * perPair * wholeReadMillis) - perToken) / perPair
				: wholeReadMillis / perToken;
		return wholeReadMillis * Math.min(1, prefillTokensPerIteration() / tokens);
	}

	/**
	 * Returns how many prompt tokens one pass with writers reads at most.
	 * @return the number of tokens
	 */
	public long prefillTokensPerIteration() {
		return (long) this.stepsPerIteration * this.prefillChunkTokens;
	}

}
