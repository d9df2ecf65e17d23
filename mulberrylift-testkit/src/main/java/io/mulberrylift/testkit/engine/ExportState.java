package io.mulberrylift.testkit.engine;

/**
 * Cached blocks that are pinned for another engine.
 *
 * <p>
 * Immutable as long as the array is left unchanged.
 * </p>
 *
 * @param exportId identity of the export within the engine
 * @param prefixBlocks keys of the pinned blocks, the leading part of the asked ones
 */
public record ExportState(long exportId, long[] prefixBlocks) {

	/**
	 * Returns the size of the pinned blocks.
	 * @return size in tokens
	 */
	public long tokens() {
		return (long) this.prefixBlocks.length * PrefixCache.BLOCK_TOKENS;
	}

}
