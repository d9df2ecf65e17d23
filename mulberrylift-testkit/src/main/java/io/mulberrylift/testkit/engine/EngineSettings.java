package io.mulberrylift.testkit.engine;

/**
 * Speed and size of a modelled engine.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param memoryTokens KV memory in tokens
 * @param maxBatch greatest number of sequences in a step
 * @param prefillChunkTokens greatest number of prompt tokens in a step
 * @param stepBaseMicros fixed part of a step's time in microseconds
 * @param prefillMicrosPerToken time per prompt token of a step in microseconds
 * @param decodeMicrosPerSequence time per decoding sequence of a step in microseconds
 * @param gangGainPercent how much faster each further member makes the prefill of a gang,
 * in percent of one engine's speed
 * @param lendingPercent how much longer a step takes while memory is held here for a
 * request that does not run here, in percent
 * @param importMicrosPerToken time to copy a cached token from another engine, in
 * microseconds
 * @param cacheLogEvents number of cache events that are kept for readers
 */
public record EngineSettings(long memoryTokens, int maxBatch, int prefillChunkTokens, long stepBaseMicros,
		long prefillMicrosPerToken, long decodeMicrosPerSequence, int gangGainPercent, int lendingPercent,
		long importMicrosPerToken, int cacheLogEvents) {

	/**
	 * Creates the settings.
	 * @throws IllegalArgumentException if a size is not positive or a time is negative
	 */
	public EngineSettings {
		requirePositive("memoryTokens", memoryTokens);
		requirePositive("maxBatch", maxBatch);
		requirePositive("prefillChunkTokens", prefillChunkTokens);
		requirePositive("stepBaseMicros", stepBaseMicros);
		requirePositive("cacheLogEvents", cacheLogEvents);
		requireNotNegative("prefillMicrosPerToken", prefillMicrosPerToken);
		requireNotNegative("decodeMicrosPerSequence", decodeMicrosPerSequence);
		requireNotNegative("gangGainPercent", gangGainPercent);
		requireNotNegative("lendingPercent", lendingPercent);
		requireNotNegative("importMicrosPerToken", importMicrosPerToken);
	}

	/**
	 * Returns the settings of a mid-size model: about 10,000 prompt tokens a second, a
	 * decode step of 12 ms alone and 30 ms at a batch of 32, memory for 400,000 tokens.
	 * @return the settings
	 */
	public static EngineSettings midSize() {
		return new EngineSettings(400_000, 64, 2_048, 11_000, 95, 600, 80, 20, 2, 8_192);
	}

	/**
	 * Returns these settings with another size of memory.
	 * @param tokens size of the KV memory in tokens
	 * @return the changed settings
	 */
	public EngineSettings withMemoryTokens(long tokens) {
		return new EngineSettings(tokens, this.maxBatch, this.prefillChunkTokens, this.stepBaseMicros,
				this.prefillMicrosPerToken, this.decodeMicrosPerSequence, this.gangGainPercent, this.lendingPercent,
				this.importMicrosPerToken, this.cacheLogEvents);
	}

	/**
	 * Returns these settings with other limits of a step.
	 * @param sequences greatest number of sequences in a step
	 * @param chunkTokens greatest number of prompt tokens in a step
	 * @return the changed settings
	 */
	public EngineSettings withStepLimits(int sequences, int chunkTokens) {
		return new EngineSettings(this.memoryTokens, sequences, chunkTokens, this.stepBaseMicros,
				this.prefillMicrosPerToken, this.decodeMicrosPerSequence, this.gangGainPercent, this.lendingPercent,
				this.importMicrosPerToken, this.cacheLogEvents);
	}

	/**
	 * Returns these settings with other times of a step.
	 * @param baseMicros fixed part in microseconds
	 * @param prefillMicros time per prompt token in microseconds
	 * @param decodeMicros time per decoding sequence in microseconds
	 * @return the changed settings
	 */
	public EngineSettings withStepTimes(long baseMicros, long prefillMicros, long decodeMicros) {
		return new EngineSettings(this.memoryTokens, this.maxBatch, this.prefillChunkTokens, baseMicros, prefillMicros,
				decodeMicros, this.gangGainPercent, this.lendingPercent, this.importMicrosPerToken,
				this.cacheLogEvents);
	}

	/**
	 * Returns these settings with another length of the cache log.
	 * @param events number of cache events that are kept
	 * @return the changed settings
	 */
	public EngineSettings withCacheLogEvents(int events) {
		return new EngineSettings(this.memoryTokens, this.maxBatch, this.prefillChunkTokens, this.stepBaseMicros,
				this.prefillMicrosPerToken, this.decodeMicrosPerSequence, this.gangGainPercent, this.lendingPercent,
				this.importMicrosPerToken, events);
	}

	private static void requirePositive(String name, long value) {
		if (value <= 0) {
			throw new IllegalArgumentException(name + " must be positive; it is " + value);
		}
	}

	private static void requireNotNegative(String name, long value) {
		if (value < 0) {
			throw new IllegalArgumentException(name + " must not be negative; it is " + value);
		}
	}

}
