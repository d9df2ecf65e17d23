package io.mulberrylift.testkit.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * KV memory of one engine: reservations of running requests, holds, exports and the
 * prefix cache.
 *
 * <p>
 * Invariant: running, held and cached tokens never exceed the capacity. A hold in use by
 * a request is kept until that request ends, even if its owner has released it or it has
 * expired. Not thread-safe.
 * </p>
 */
final class KvMemory {

	private final long capacityTokens;

	private final PrefixCache cache;

	private final Map<HoldKey, Hold> holds = new LinkedHashMap<>();

	private final Map<Long, Export> exports = new LinkedHashMap<>();

	private long runningTokens;

	private long heldTokens;

	private long lastExportId;

	private int evictedBlocks;

	KvMemory(long capacityTokens, PrefixCache cache) {
		this.capacityTokens = capacityTokens;
		this.cache = cache;
	}

	PrefixCache cache() {
		return this.cache;
	}

	MemoryUsage usage() {
		long idle = this.cache.idleTokens();
		long pinned = this.cache.totalTokens() - idle;
		return new MemoryUsage(this.runningTokens, this.heldTokens, pinned, idle, freeTokens());
	}

	/**
	 * Reserves memory for a running request, evicting cached blocks if necessary.
	 * @param atMicros the time in microseconds
	 * @param tokens the memory to reserve, in tokens
	 * @return false if there is not enough memory; no block is evicted in this case
	 */
	boolean reserve(long atMicros, long tokens) {
		if (!makeRoom(atMicros, tokens)) {
			return false;
		}
		this.runningTokens += tokens;
		return true;
	}

	void unreserve(long tokens) {
		this.runningTokens -= tokens;
	}

	/**
	 * Creates a hold, or renews the expiry of an existing hold.
	 * @param atMicros the time in microseconds
	 * @param key key of the hold
	 * @param tokens the memory to reserve, in tokens
	 * @param expiresAtMicros expiry time in microseconds
	 * @return false if there is not enough memory
	 */
	boolean hold(long atMicros, HoldKey key, long tokens, long expiresAtMicros) {
		Hold existing = this.holds.get(key);
		if (existing != null) {
			existing.expiresAtMicros = expiresAtMicros;
			existing.released = false;
			return true;
		}
		if (!makeRoom(atMicros, tokens)) {
			return false;
		}
		this.holds.put(key, new Hold(key, tokens, expiresAtMicros));
		this.heldTokens += tokens;
		return true;
	}

	/**
	 * Releases a hold immediately, or at the end of the request that uses it.
	 * @param key key of the hold; an unknown key is ignored
	 */
	void release(HoldKey key) {
		Hold hold = this.holds.get(key);
		if (hold == null) {
			return;
		}
		hold.released = true;
		if (!hold.inUse) {
			drop(hold);
		}
	}

	Optional<HoldState> findHold(HoldKey key) {
		return Optional.ofNullable(this.holds.get(key)).filter((hold) -> !hold.released).map(Hold::state);
	}

	Collection<HoldState> listHolds() {
		return this.holds.values().stream().map(Hold::state).toList();
	}

	/**
	 * Marks a hold as in use by a request.
	 * @param key key of the hold
	 * @return false if the hold does not exist, has been released or is in use
	 */
	boolean beginUse(HoldKey key) {
		Hold hold = this.holds.get(key);
		if (hold == null || hold.released || hold.inUse) {
			return false;
		}
		hold.inUse = true;
		return true;
	}

	void endUse(HoldKey key) {
		Hold hold = this.holds.get(key);
		hold.inUse = false;
		if (hold.released) {
			drop(hold);
		}
	}

	boolean hasUnusedHold() {
		for (Hold hold : this.holds.values()) {
			if (!hold.inUse) {
				return true;
			}
		}
		return false;
	}

	ExportState export(long atMicros, long[] keys, long expiresAtMicros) {
		int count = this.cache.matchingBlocks(keys);
		long[] pinned = java.util.Arrays.copyOf(keys, count);
		for (long key : pinned) {
			this.cache.pin(atMicros, key);
		}
		this.lastExportId++;
		Export export = new Export(new ExportState(this.lastExportId, pinned), expiresAtMicros);
		this.exports.put(this.lastExportId, export);
		return export.state();
	}

	Optional<ExportState> findExport(long exportId) {
		return Optional.ofNullable(this.exports.get(exportId)).map(Export::state);
	}

	void dropExport(long exportId) {
		Export export = this.exports.remove(exportId);
		if (export != null) {
			long[] keys = export.state().prefixBlocks();
			this.cache.unpin(keys, keys.length);
		}
	}

	/**
	 * Adds blocks to the cache as far as memory allows. Blocks that are already cached
	 * count as added.
	 * @param atMicros the time in microseconds
	 * @param keys keys of a prompt's blocks
	 * @return number of leading blocks that are cached
	 */
	int importBlocks(long atMicros, long[] keys) {
		int count = 0;
		while (count < keys.length
				&& (this.cache.contains(keys[count]) || makeRoom(atMicros, PrefixCache.BLOCK_TOKENS))) {
			this.cache.pin(atMicros, keys[count]);
			count++;
		}
		this.cache.unpin(keys, count);
		return count;
	}

	/**
	 * Removes expired holds and exports.
	 * @param atMicros the time in microseconds
	 * @return the keys of the removed holds
	 */
	List<HoldKey> expire(long atMicros) {
		List<Long> expiredExportIds = this.exports.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().expiresAtMicros() <= atMicros)
			.map(Map.Entry::getKey)
			.toList();
		expiredExportIds.forEach(this::dropExport);
		if (this.holds.isEmpty()) {
			return Collections.emptyList();
		}
		List<HoldKey> expired = new ArrayList<>();
		Iterator<Hold> iterator = this.holds.values().iterator();
		while (iterator.hasNext()) {
			Hold hold = iterator.next();
			if (hold.expiresAtMicros <= atMicros && !hold.inUse) {
				iterator.remove();
				this.heldTokens -= hold.tokens;
				expired.add(hold.key);
			}
		}
		return expired;
	}

	/**
	 * Returns the earliest expiry time of the exports and of the holds not in use.
	 * @return the time in microseconds, {@code Long.MAX_VALUE} if nothing can expire
	 */
	long nextExpiryMicros() {
		long next = Long.MAX_VALUE;
		for (Hold hold : this.holds.values()) {
			if (!hold.inUse) {
				next = Math.min(next, hold.expiresAtMicros);
			}
		}
		for (Export export : this.exports.values()) {
			next = Math.min(next, export.expiresAtMicros());
		}
		return next;
	}

	/**
	 * Returns the number of blocks evicted since the last call and resets it.
	 * @return number of blocks
	 */
	int drainEvictedBlocks() {
		int blocks = this.evictedBlocks;
		this.evictedBlocks = 0;
		return blocks;
	}

	private void drop(Hold hold) {
		this.holds.remove(hold.key);
		this.heldTokens -= hold.tokens;
	}

	private long freeTokens() {
		return this.capacityTokens - this.runningTokens - this.heldTokens - this.cache.totalTokens();
	}

	private boolean makeRoom(long atMicros, long tokens) {
		if (freeTokens() + this.cache.idleTokens() < tokens) {
			return false;
		}
		while (freeTokens() < tokens) {
			this.cache.evictOldest(atMicros);
			this.evictedBlocks++;
		}
		return true;
	}

	private record Export(ExportState state, long expiresAtMicros) {
	}

	private static final class Hold {

		private final HoldKey key;

		private final long tokens;

		private long expiresAtMicros;

		private boolean inUse;

		private boolean released;

		private Hold(HoldKey key, long tokens, long expiresAtMicros) {
			this.key = key;
			this.tokens = tokens;
			this.expiresAtMicros = expiresAtMicros;
		}

		private HoldState state() {
			return new HoldState(this.key, this.tokens, this.expiresAtMicros);
		}

	}

}
