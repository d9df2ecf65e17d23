package io.mulberrylift.testkit.engine;

import java.util.Optional;

/**
 * Allocates and frees the memory of individual requests.
 *
 * <p>
 * Invariant: the memory that {@link #prepare} and {@link #allocate} assign to a request
 * is released once, by {@link #free}. Not thread-safe.
 * </p>
 */
final class RequestMemory {

	private final KvMemory memory;

	private final long capacityTokens;

	RequestMemory(KvMemory memory, long capacityTokens) {
		this.memory = memory;
		this.capacityTokens = capacityTokens;
	}

	/**
	 * Checks whether a request can fit into memory and marks its hold, if any, as in use.
	 * @param request the request
	 * @return whether the request is accepted, or the reason for its refusal
	 */
	SubmitResult prepare(EngineRequest request) {
		if (request.holds().isEmpty()) {
			return (request.memoryTokens() <= this.capacityTokens) ? SubmitResult.ACCEPTED : SubmitResult.TOO_LARGE;
		}
		HoldUse use = request.holds().get();
		Optional<HoldState> own = this.memory.findHold(use.ownHold());
		if (own.isEmpty()) {
			return SubmitResult.HOLD_MISSING;
		}
		if (own.get().tokens() + use.otherTokens() < request.memoryTokens()) {
			return SubmitResult.TOO_LARGE;
		}
		return this.memory.beginUse(use.ownHold()) ? SubmitResult.ACCEPTED : SubmitResult.HOLD_MISSING;
	}

	/**
	 * Pins the cached blocks of a prompt and reserves the remaining memory, unless the
	 * request uses a hold.
	 * @param atMicros the time in microseconds
	 * @param sequence the waiting request
	 * @return false if there is not enough memory; nothing is allocated in this case
	 */
	boolean allocate(long atMicros, Sequence sequence) {
		EngineRequest request = sequence.request();
		long[] keys = request.prefixBlocks();
		int usableBlocks = (request.promptTokens() - 1) / PrefixCache.BLOCK_TOKENS;
		int blocks = Math.min(usableBlocks, this.memory.cache().matchingBlocks(keys));
		pin(atMicros, keys, 0, blocks);
		if (!sequence.hasHold()) {
			long tokens = request.memoryTokens() - (long) blocks * PrefixCache.BLOCK_TOKENS;
			if (!this.memory.reserve(atMicros, tokens)) {
				this.memory.cache().unpin(keys, blocks);
				return false;
			}
			sequence.reservedTokens = tokens;
		}
		sequence.pinnedBlocks = blocks;
		sequence.cachedTokens = blocks * PrefixCache.BLOCK_TOKENS;
		return true;
	}

	/**
	 * Makes the full blocks of a processed prompt available to other requests. Blocks in
	 * the memory of a hold are not shared.
	 * @param atMicros the time in microseconds
	 * @param sequence the running request
	 */
	void shareBlocks(long atMicros, Sequence sequence) {
		if (sequence.hasHold()) {
			return;
		}
		EngineRequest request = sequence.request();
		long[] keys = request.prefixBlocks();
		int fullBlocks = Math.min(keys.length, request.promptTokens() / PrefixCache.BLOCK_TOKENS);
		long tokens = (long) (fullBlocks - sequence.pinnedBlocks) * PrefixCache.BLOCK_TOKENS;
		this.memory.unreserve(tokens);
		pin(atMicros, keys, sequence.pinnedBlocks, fullBlocks);
		sequence.reservedTokens -= tokens;
		sequence.pinnedBlocks = fullBlocks;
	}

	/**
	 * Frees the memory of a waiting or running request.
	 * @param sequence the request
	 */
	void free(Sequence sequence) {
		this.memory.unreserve(sequence.reservedTokens);
		this.memory.cache().unpin(sequence.request().prefixBlocks(), sequence.pinnedBlocks);
		sequence.request().holds().ifPresent((use) -> this.memory.endUse(use.ownHold()));
	}

	private void pin(long atMicros, long[] keys, int from, int to) {
		for (int i = from; i < to; i++) {
			this.memory.cache().pin(atMicros, keys[i]);
		}
	}

}
