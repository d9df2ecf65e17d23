package io.mulberrylift.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * The work of one request in progress over all endpoints that take part, as its instance
 * tells its peers.
 *
 * <p>
 * Immutable. Endpoints are named by the hashes of their identities. Times are monotonic
 * milliseconds of the holder, or relative to its sending in a message.
 * </p>
 *
 * @param decoding whether the answer has begun
 * @param partPrefillMillis reading time at each endpoint; 0 for plain work
 * @param memoryTokens engine memory at the endpoint that writes
 * @param helperMemoryTokens engine memory at each of the others
 * @param gapTargetMillis longest pause of the answer that is on time; 0 for none
 * @param firstTokenDueMillis when the first token is due
 * @param expectedFirstTokenMillis when reading is expected to end
 * @param weight what lateness costs relative to a short prompt's
 * @param endpointHash the endpoint that gets the request
 * @param helperHashes endpoints that read parts
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
	 * Returns the work with its answer begun: reading is over everywhere.
	 * @return the work in its second phase
	 */
	public RequestWork toDecoding() {
		List<Integer> helpers = (this.helperMemoryTokens > 0) ? this.helperHashes : List.of();
		return new RequestWork(true, this.partPrefillMillis, this.memoryTokens, this.helperMemoryTokens,
				this.gapTargetMillis, this.firstTokenDueMillis, this.expectedFirstTokenMillis, this.weight,
				this.endpointHash, helpers);
	}

	/**
	 * Returns the work with its times moved, to tell them to another clock.
	 * @param millis added to each time
	 * @return the moved work
	 */
	public RequestWork shifted(long millis) {
		return new RequestWork(this.decoding, this.partPrefillMillis, this.memoryTokens, this.helperMemoryTokens,
				this.gapTargetMillis, this.firstTokenDueMillis + millis, this.expectedFirstTokenMillis + millis,
				this.weight, this.endpointHash, this.helperHashes);
	}

	/**
	 * Returns the work by endpoint.
	 * @return one item per endpoint that takes part
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
