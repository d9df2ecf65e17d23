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
 * An endpoint's response to a load query.
 *
 * @param incarnation number that changes when the endpoint's process restarts
 * @param runningRequests requests being processed
 * @param queuedRequests requests accepted but not yet started
 * @param queuedPromptTokens prompt tokens accepted but not yet prefilled
 * @param usedMemoryTokens KV memory in use or on hold, in tokens
 * @param draining whether the endpoint refuses new work
 * @param loadedModels models loaded in memory
 * @param role the engine's role, null for none
 * @param ageMillis age of the report in milliseconds
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
	 * Parses a response body.
	 * @param body the body
	 * @return the parsed response
	 * @throws IOException if the body is not a load report
	 */
	static LoadReply parse(byte[] body) throws IOException {
		LoadReply reply = MAPPER.readValue(body, LoadReply.class);
		if (reply == null) {
			throw new IOException("load report is null; expected a JSON object");
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
	 * @param complete whether the changes have no gap
	 * @param added hashes of blocks added to the cache
	 * @param evicted hashes of evicted blocks
	 */
	record Cache(long sequence, boolean complete, List<String> added, List<String> evicted) {

		Cache {
			added = (added != null) ? List.copyOf(added) : List.of();
			evicted = (evicted != null) ? List.copyOf(evicted) : List.of();
		}

		/**
		 * Parses the hashes of blocks added to the cache.
		 * @return the hashes
		 * @throws IllegalArgumentException if one is malformed
		 */
		List<Long> addedBlocks() {
			return this.added.stream().map(BlockHash::parse).toList();
		}

		/**
		 * Parses the hashes of evicted blocks.
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
