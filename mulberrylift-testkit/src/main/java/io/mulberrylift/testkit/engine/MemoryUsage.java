package io.mulberrylift.testkit.engine;

/**
 * KV memory usage of an engine. The five values add up to the engine's memory.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param runningTokens memory reserved by running requests outside of cached blocks
 * @param heldTokens memory reserved by holds
 * @param pinnedTokens memory of cached blocks that a running request or an export uses
 * @param idleTokens memory of cached blocks that may be evicted
 * @param freeTokens unused memory
 */
public record MemoryUsage(long runningTokens, long heldTokens, long pinnedTokens, long idleTokens, long freeTokens) {

	/**
	 * Returns the memory that is not available to new requests.
	 * @return running, held and pinned memory in tokens
	 */
	public long usedTokens() {
		return this.runningTokens + this.heldTokens + this.pinnedTokens;
	}

	/**
	 * Returns the memory that is available to new requests, including evictable blocks.
	 * @return idle and free memory in tokens
	 */
	public long availableTokens() {
		return this.idleTokens + this.freeTokens;
	}

}
