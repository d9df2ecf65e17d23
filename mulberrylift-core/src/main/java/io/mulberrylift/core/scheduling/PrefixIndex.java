package io.mulberrylift.core.scheduling;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.mulberrylift.core.model.RequestSpec;

/**
 * Index of the prefix blocks in an endpoint's cache, as far as the endpoint has reported
 * them.
 *
 * <p>
 * Not thread-safe; owned by the scheduler. Holds at most 4,096 blocks; further ones are
 * ignored until some are evicted.
 * </p>
 */
final class PrefixIndex {

	private static final int MAX_BLOCKS = 4_096;

	private final Set<Long> blocks = new HashSet<>();

	void update(boolean complete, List<Long> added, List<Long> evicted) {
		if (!complete) {
			this.blocks.clear();
		}
		this.blocks.removeAll(Set.copyOf(evicted));
		for (Long block : added) {
			if (this.blocks.size() < MAX_BLOCKS) {
				this.blocks.add(block);
			}
		}
	}

	void clear() {
		this.blocks.clear();
	}

	/**
	 * Returns the number of prompt tokens that are probably cached. The last token of a
	 * prompt is always processed.
	 * @param spec the request
	 * @return number of tokens
	 */
	int cachedTokens(RequestSpec spec) {
		if (this.blocks.isEmpty()) {
			return 0;
		}
		int matching = 0;
		while (matching < spec.prefixBlocks().length && this.blocks.contains(spec.prefixBlocks()[matching])) {
			matching++;
		}
		int usableBlocks = Math.max(0, spec.promptTokens() - 1) / RequestSpec.PREFIX_BLOCK_TOKENS;
		return Math.min(matching, usableBlocks) * RequestSpec.PREFIX_BLOCK_TOKENS;
	}

}
