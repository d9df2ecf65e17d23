package io.mulberrylift.testkit.engine;

import java.util.Optional;

/**
 * Takes memory for single requests and gives it back.
 *
 * <p>
 * Invariant: what {@link #prepare} and {@link #allocate} took for a request,
 * {@link #free} gives back once. Not safe for use by several threads.
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
	 * Checks that a request can fit and claims its hold if it has one.
	 * @param request the request
	 * @return whether the request can run
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
	 * Pins the cached part of a prompt and reserves the rest, unless a hold backs the
	 * request.
	 * @param atMicros the time
	 * @param sequence the waiting request
	 * @return false when the memory is short; nothing is taken then
	 */
	boolean allocate(long atMicros, Sequence sequence) {
		EngineRequest request = sequence.request();
		long[] keys = request.prefixBlocks();
		int usable = (request.promptTokens() - 1) / PrefixCache.BLOCK_TOKENS;
		int blocks = Math.min(usable, this.memory.cache().matchingBlocks(keys));
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
	 * Makes the whole blocks of a processed prompt available to other requests. Blocks in
	 * held memory are not shared.
	 * @param atMicros the time
	 * @param sequence the running request
	 */
	void shareBlocks(long atMicros, Sequence sequence) {
		if (sequence.hasHold()) {
			return;
		}
		EngineRequest request = sequence.request();
		long[] keys = request.prefixBlocks();
		int whole = Math.min(keys.length, request.promptTokens() / PrefixCache.BLOCK_TOKENS);
		long tokens = (long) (whole - sequence.pinnedBlocks) * PrefixCache.BLOCK_TOKENS;
		this.memory.unreserve(tokens);
		pin(atMicros, keys, sequence.pinnedBlocks, whole);
		sequence.reservedTokens -= tokens;
		sequence.pinnedBlocks = whole;
	}

	/**
	 * Gives back what a request took, whether it waited or ran.
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
