package io.mulberrylift.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Work of one request in progress at all endpoints involved, as published to peers.
 *
 * <p>
 * Immutable. Endpoints are identified by hashes of their identities. Times are in
 * milliseconds: of the local monotonic clock, or relative to the time of sending in a
 * message.
 * </p>
 *
 * @param decoding whether the request is decoding; false while its prompt is prefilled
 * @param partPrefillMillis prefill time at each endpoint; 0 for services without an
 * engine cost model
 * @param memoryTokens engine memory at the endpoint that decodes, in tokens
 * @param helperMemoryTokens engine memory at each helper, in tokens
 * @param gapTargetMillis maximum time between two tokens that meets the target; 0 for
 * none
 * @param firstTokenDueMillis when the first token is due
 * @param expectedFirstTokenMillis when prefill is expected to end
 * @param weight cost of lateness relative to that of a short prompt
 * @param endpointHash endpoint that the request is sent to
 * @param helperHashes endpoints that prefill other parts of the prompt
 */
public record RequestWork(boolean decoding, double partPrefillMillis, long memoryTokens, long helperMemoryTokens,
		long gapTargetMillis, long firstTokenDueMillis, long expectedFirstTokenMillis, double weight, int endpointHash,
		List<Integer> helperHashes) {

	/**
	 * Creates the work.
	 */
	public RequestWork {
		Objects.requireNonNull(helperHashes, "helperHashes");
		helperHashes = List.copyOf(helperHashes);
	}

	/**
	 * Returns this work after prefill has ended at all endpoints. Helpers remain only if
	 * they hold memory.
	 * @return the work in its decode phase
	 */
	public RequestWork toDecoding() {
		List<Integer> helpers = (this.helperMemoryTokens > 0) ? this.helperHashes : List.of();
		return new RequestWork(true, this.partPrefillMillis, this.memoryTokens, this.helperMemoryTokens,
				this.gapTargetMillis, this.firstTokenDueMillis, this.expectedFirstTokenMillis, this.weight,
				this.endpointHash, helpers);
	}

	/**
	 * Returns this work without an endpoint whose process has started again.
	 * @param hash hash of the endpoint
	 * @return the rest of the work, empty if there is none
	 */
	Optional<RequestWork> without(int hash) {
		if (this.endpointHash == hash) {
			return Optional.empty();
		}
		if (!this.helperHashes.contains(hash)) {
			return Optional.of(this);
		}
		return Optional.of(new RequestWork(this.decoding, this.partPrefillMillis, this.memoryTokens,
				this.helperMemoryTokens, this.gapTargetMillis, this.firstTokenDueMillis, this.expectedFirstTokenMillis,
				this.weight, this.endpointHash, this.helperHashes.stream().filter((each) -> each != hash).toList()));
	}

	/**
	 * Returns this work with its times shifted, for conversion between absolute and
	 * relative times.
	 * @param millis offset added to each time
	 * @return the shifted work
	 */
	public RequestWork shifted(long millis) {
		return new RequestWork(this.decoding, this.partPrefillMillis, this.memoryTokens, this.helperMemoryTokens,
				this.gapTargetMillis, this.firstTokenDueMillis + millis, this.expectedFirstTokenMillis + millis,
				this.weight, this.endpointHash, this.helperHashes);
	}

	/**
	 * Returns the work by endpoint.
	 * @return one item for each endpoint involved
	 */
	List<WorkItem> items() {
		List<WorkItem> items = new ArrayList<>();
		items.add(item(this.endpointHash, (this.decoding) ? WorkPhase.DECODE : WorkPhase.PREFILL, this.memoryTokens));
		for (int helper : this.helperHashes) {
			items.add(item(helper, WorkPhase.HELPER_PREFILL, this.helperMemoryTokens));
		}
		return items;
	}

	private WorkItem item(int hash, WorkPhase phase, long tokens) {
		return new WorkItem(hash, phase, (this.decoding) ? 0 : this.partPrefillMillis, 1 + this.helperHashes.size(),
				tokens, this.gapTargetMillis, this.firstTokenDueMillis, this.expectedFirstTokenMillis, this.weight);
	}

}
