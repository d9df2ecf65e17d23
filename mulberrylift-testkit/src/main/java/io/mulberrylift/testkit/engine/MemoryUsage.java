package io.mulberrylift.testkit.engine;

/**
 * Census of an engine's KV memory. The five parts add up to the engine's memory.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param runningTokens reserved by running requests outside of cached blocks
 * @param heldTokens reserved by holds
 * @param pinnedTokens in cached blocks that a running request or an export uses
 * @param idleTokens in cached blocks that may be evicted
 * @param freeTokens in no use
 */
public record MemoryUsage(long runningTokens, long heldTokens, long pinnedTokens, long idleTokens, long freeTokens) {

	/**
	 * Returns the memory that is not available to new work.
	 * @return running, held and pinned memory in tokens
	 */
	public long usedTokens() {
		return this.runningTokens + this.heldTokens + this.pinnedTokens;
	}

	/**
	 * Returns the memory that new work may take, by eviction if need be.
	 * @return idle and free memory in tokens
	 */
	public long availableTokens() {
		return this.idleTokens + this.freeTokens;
	}

}
