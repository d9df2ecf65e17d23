package io.mulberrylift.testkit.engine;

/**
 * Cached blocks that are pinned for import by another engine.
 *
 * <p>
 * Immutable as long as the array is not modified.
 * </p>
 *
 * @param exportId id of the export, unique within the engine
 * @param prefixBlocks keys of the pinned blocks, a prefix of the requested keys
 */
public record ExportState(long exportId, long[] prefixBlocks) {

	/**
	 * Returns the size of the pinned blocks.
	 * @return the size in tokens
	 */
	public long tokens() {
		return (long) this.prefixBlocks.length * PrefixCache.BLOCK_TOKENS;
	}

}
