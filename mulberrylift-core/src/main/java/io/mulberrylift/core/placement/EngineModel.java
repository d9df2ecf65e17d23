package io.mulberrylift.core.placement;

/**
 * Published cost model of the engines of a service.
 *
 * <p>
 * An engine works in passes. A pass with writing requests runs {@code stride} token steps
 * and reads at most {@code chunkTokens} prompt tokens beside each step. Immutable.
 * </p>
 *
 * @param stepMillis time of a token step
 * @param perSequenceMillis time added to a step by each writing request
 * @param contextPerThousandMillis time added to a step by each 1,000 tokens of context
 * @param readTokensPerMilli prompt tokens read in a millisecond
 * @param pairsPerMillionMillis time of a million pairs of a token and an earlier one
 * @param chunkTokens prompt tokens read beside a step at most
 * @param stride token steps of a pass that has writers
 * @param memoryTokens tokens that the memory of an engine holds
 */
public record EngineModel(double stepMillis, double perSequenceMillis, double contextPerThousandMillis,
		double readTokensPerMilli, double pairsPerMillionMillis, int chunkTokens, int stride, long memoryTokens) {

	private static final double MILLION = 1e6;

	private static final double THOUSAND = 1e3;

	/**
	 * Creates the model.
	 * @throws IllegalArgumentException if a rate or size is not positive
	 */
	public EngineModel {
		if (readTokensPerMilli <= 0 || chunkTokens < 1 || stride < 1 || memoryTokens < 1) {
			throw new IllegalArgumentException("Rates and sizes of an engine must be positive");
		}
	}

	/**
	 * Returns the time that one of several equal parts of a prompt takes to read.
	 * @param promptTokens tokens of the whole prompt
	 * @param parts number of parts, at least 1
	 * @return the time in milliseconds on an idle engine
	 */
	public double readMillis(long promptTokens, int parts) {
		double pairs = 0.5 * promptTokens * promptTokens / MILLION;
		return (promptTokens / this.readTokensPerMilli + pairs * this.pairsPerMillionMillis) / parts;
	}

	/**
	 * Returns the time of the token steps of one pass, without reading.
	 * @param writers number of writing requests
	 * @param contextTokens sum of their contexts in tokens
	 * @return the time in milliseconds; 0 without writers
	 */
	public double passMillis(int writers, long contextTokens) {
		if (writers == 0) {
			return 0;
		}
		return this.stride * (this.stepMillis + writers * this.perSequenceMillis
				+ contextTokens / THOUSAND * this.contextPerThousandMillis);
	}

	/**
	 * Returns how much of a prompt's reading one pass with writers holds at most.
	 * @param wholeReadMillis reading time of the whole prompt on one idle engine
	 * @return the time in milliseconds; larger for long prompts, whose tokens have more
	 * pairs
	 */
	public double passReadMillis(double wholeReadMillis) {
		if (wholeReadMillis <= 0) {
			return 0;
		}
		double perToken = 1 / this.readTokensPerMilli;
		double perPair = this.pairsPerMillionMillis / MILLION;
		double tokens = (perPair > 0)
				? (Math.sqrt(perToken * perToken + 2 * perPair * wholeReadMillis) - perToken) / perPair
				: wholeReadMillis / perToken;
		return wholeReadMillis * Math.min(1, tokensPerPass() / tokens);
	}

	/**
	 * Returns how many prompt tokens one pass with writers reads at most.
	 * @return the number of tokens
	 */
	public long tokensPerPass() {
		return (long) this.stride * this.chunkTokens;
	}

}
