package io.mulberrylift.testkit.engine;

/**
 * Performance and capacity of a simulated engine.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param memoryTokens KV memory in tokens
 * @param maxBatch maximum number of sequences in a step
 * @param prefillChunkTokens maximum number of prompt tokens in a step
 * @param stepBaseMicros fixed duration of a step in microseconds
 * @param prefillMicrosPerToken step time per prompt token in microseconds
 * @param decodeMicrosPerSequence step time per decoding sequence in microseconds
 * @param gangGainPercent speedup of a gang's prefill by each additional member, in
 * percent of the speed of one engine
 * @param lendingPercent increase in step duration while the engine has a hold that no
 * request running on it uses, in percent
 * @param importMicrosPerToken time to copy a cached token from another engine, in
 * microseconds
 * @param cacheLogEvents number of events that the cache log retains
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
	 * Returns the settings of a mid-size model: about 10,000 prompt tokens per second, a
	 * decode step of 12 ms for a single sequence and 30 ms for a batch of 32, and memory
	 * for 400,000 tokens.
	 * @return the settings
	 */
	public static EngineSettings midSize() {
		return new EngineSettings(400_000, 64, 2_048, 11_000, 95, 600, 80, 20, 2, 8_192);
	}

	/**
	 * Returns a copy of these settings with another memory size.
	 * @param tokens size of the KV memory in tokens
	 * @return the modified copy
	 */
	public EngineSettings withMemoryTokens(long tokens) {
		return new EngineSettings(tokens, this.maxBatch, this.prefillChunkTokens, this.stepBaseMicros,
				this.prefillMicrosPerToken, this.decodeMicrosPerSequence, this.gangGainPercent, this.lendingPercent,
				this.importMicrosPerToken, this.cacheLogEvents);
	}

	/**
	 * Returns a copy of these settings with other step limits.
	 * @param sequences maximum number of sequences in a step
	 * @param chunkTokens maximum number of prompt tokens in a step
	 * @return the modified copy
	 */
	public EngineSettings withStepLimits(int sequences, int chunkTokens) {
		return new EngineSettings(this.memoryTokens, sequences, chunkTokens, this.stepBaseMicros,
				this.prefillMicrosPerToken, this.decodeMicrosPerSequence, this.gangGainPercent, this.lendingPercent,
				this.importMicrosPerToken, this.cacheLogEvents);
	}

	/**
	 * Returns a copy of these settings with other step times.
	 * @param baseMicros fixed duration in microseconds
	 * @param prefillMicros time per prompt token in microseconds
	 * @param decodeMicros time per decoding sequence in microseconds
	 * @return the modified copy
	 */
	public EngineSettings withStepTimes(long baseMicros, long prefillMicros, long decodeMicros) {
		return new EngineSettings(this.memoryTokens, this.maxBatch, this.prefillChunkTokens, baseMicros, prefillMicros,
				decodeMicros, this.gangGainPercent, this.lendingPercent, this.importMicrosPerToken,
				this.cacheLogEvents);
	}

	/**
	 * Returns a copy of these settings with another cache log length.
	 * @param events number of events that the cache log retains
	 * @return the modified copy
	 */
	public EngineSettings withCacheLogEvents(int events) {
		return new EngineSettings(this.memoryTokens, this.maxBatch, this.prefillChunkTokens, this.stepBaseMicros,
				this.prefillMicrosPerToken, this.decodeMicrosPerSequence, this.gangGainPercent, this.lendingPercent,
				this.importMicrosPerToken, events);
	}

	private static void requirePositive(String name, long value) {
		if (value <= 0) {
			throw new IllegalArgumentException(name + " must be positive but was " + value);
		}
	}

	private static void requireNotNegative(String name, long value) {
		if (value < 0) {
			throw new IllegalArgumentException(name + " must not be negative but was " + value);
		}
	}

}
