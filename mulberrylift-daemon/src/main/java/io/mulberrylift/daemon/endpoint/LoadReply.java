package io.mulberrylift.daemon.endpoint;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.LoadReport;

/**
 * An endpoint's answer to a question for its load.
 *
 * @param incarnation number that changes when the endpoint's process restarts
 * @param runningRequests requests being worked on
 * @param queuedRequests requests accepted and waiting
 * @param queuedPromptTokens prompt tokens accepted and not yet prefilled
 * @param usedMemoryTokens KV memory in use or held
 * @param draining whether the endpoint refuses new work
 * @param loadedModels models in memory
 * @param role the engine's role, null for none
 * @param ageMillis how old the report was
 * @param cache changes of the prefix cache, null for none
 */
record LoadReply(long incarnation, int runningRequests, int queuedRequests, long queuedPromptTokens,
		long usedMemoryTokens, boolean draining, Set<String> loadedModels, String role, long ageMillis, Cache cache) {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	LoadReply {
		loadedModels = (loadedModels != null) ? Set.copyOf(loadedModels) : Set.of();
	}

	/**
	 * Reads a body.
	 * @param body the body
	 * @return its content
	 * @throws IOException if it is not a load report
	 */
	static LoadReply parse(byte[] body) throws IOException {
		LoadReply reply = MAPPER.readValue(body, LoadReply.class);
		if (reply == null) {
			throw new IOException("load report holds nothing");
		}
		return reply;
	}

	LoadReport toLoadReport(EndpointId endpoint) {
		return new LoadReport(endpoint, this.incarnation, this.runningRequests, this.queuedRequests,
				this.queuedPromptTokens, this.usedMemoryTokens, this.draining, this.loadedModels, this.role,
				this.ageMillis);
	}

	Optional<Cache> cacheChanges() {
		return Optional.ofNullable(this.cache);
	}

	/**
	 * Changes of the prefix cache.
	 *
	 * @param sequence number of the last change
	 * @param complete whether no change is missing
	 * @param added hashes of cached blocks
	 * @param evicted hashes of evicted blocks
	 */
	record Cache(long sequence, boolean complete, List<String> added, List<String> evicted) {

		Cache {
			added = (added != null) ? List.copyOf(added) : List.of();
			evicted = (evicted != null) ? List.copyOf(evicted) : List.of();
		}

		/**
		 * Returns the hashes of cached blocks.
		 * @return the hashes
		 * @throws IllegalArgumentException if one is malformed
		 */
		List<Long> addedBlocks() {
			return this.added.stream().map(BlockHash::parse).toList();
		}

		/**
		 * Returns the hashes of evicted blocks.
		 * @return the hashes
		 * @throws IllegalArgumentException if one is malformed
		 */
		List<Long> evictedBlocks() {
			return this.evicted.stream().map(BlockHash::parse).toList();
		}

		boolean hasChanges() {
			return !this.complete || !this.added.isEmpty() || !this.evicted.isEmpty();
		}

	}

}
