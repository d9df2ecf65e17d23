package io.mulberrylift.testkit.engine;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Cache of prompt blocks with opaque keys. A block is pinned while a request or an export
 * uses it; all other blocks can be evicted, least recently used first.
 *
 * <p>
 * Invariant: {@code idle} contains exactly the blocks without pins. Not thread-safe.
 * </p>
 */
final class PrefixCache {

	static final int BLOCK_TOKENS = 1_024;

	private final CacheLog log;

	private final Map<Long, Block> blocks = new HashMap<>();

	private final LinkedHashMap<Long, Block> idle = new LinkedHashMap<>();

	PrefixCache(CacheLog log) {
		this.log = log;
	}

	/**
	 * Returns the number of consecutive leading blocks that are cached.
	 * @param keys keys of a prompt's blocks
	 * @return number of cached leading blocks
	 */
	int matchingBlocks(long[] keys) {
		int count = 0;
		while (count < keys.length && this.blocks.containsKey(keys[count])) {
			count++;
		}
		return count;
	}

	/**
	 * Pins a block, adding it to the cache if necessary.
	 * @param atMicros the time in microseconds
	 * @param key key of the block
	 */
	void pin(long atMicros, long key) {
		Block block = this.blocks.get(key);
		if (block == null) {
			block = new Block();
			this.blocks.put(key, block);
			this.log.append(atMicros, key, true);
		}
		block.pins++;
		this.idle.remove(key);
	}

	/**
	 * Unpins the leading blocks in reverse order, so that later blocks are evicted before
	 * earlier ones.
	 * @param keys keys of a prompt's blocks
	 * @param count number of leading keys to unpin
	 */
	void unpin(long[] keys, int count) {
		for (int i = count - 1; i >= 0; i--) {
			Block block = this.blocks.get(keys[i]);
			block.pins--;
			if (block.pins == 0) {
				this.idle.put(keys[i], block);
			}
		}
	}

	/**
	 * Evicts the least recently used block without pins.
	 * @param atMicros the time in microseconds
	 * @return false if there is no such block
	 */
	boolean evictOldest(long atMicros) {
		Iterator<Long> keys = this.idle.keySet().iterator();
		if (!keys.hasNext()) {
			return false;
		}
		long key = keys.next();
		keys.remove();
		this.blocks.remove(key);
		this.log.append(atMicros, key, false);
		return true;
	}

	boolean contains(long key) {
		return this.blocks.containsKey(key);
	}

	long totalTokens() {
		return (long) this.blocks.size() * BLOCK_TOKENS;
	}

	long idleTokens() {
		return (long) this.idle.size() * BLOCK_TOKENS;
	}

	private static final class Block {

		private int pins;

	}

}
