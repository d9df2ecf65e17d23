package io.mulberrylift.core.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * Aggregated work of one instance at one endpoint, published instead of single requests
 * in fleets where those would be too many.
 *
 * <p>
 * Immutable. An endpoint is identified by a key of {@value #KEY_BITS} bits, derived from
 * a hash. If the keys of two endpoints collide, the work of both is counted at each,
 * which overstates their load and has no other effect.
 * </p>
 *
 * @param endpointKey key of the endpoint
 * @param slotsInUse requests that occupy a slot
 * @param decodingRequests requests among them that are decoding
 * @param prefillMillis remaining prefill time, including parts prefilled for other
 * endpoints
 * @param memoryTokens tokens of engine memory held
 * @param gapTargetMillis smallest inter-token gap target of a request; 0 for none
 */
public record EndpointSummary(int endpointKey, int slotsInUse, int decodingRequests, long prefillMillis,
		long memoryTokens, long gapTargetMillis) {

	private static final int KEY_BITS = 16;

	/**
	 * Creates the summary.
	 * @throws IllegalArgumentException if a number is negative or more requests are
	 * decoding than slots are in use
	 */
	public EndpointSummary {
		if (slotsInUse < 0 || decodingRequests < 0 || decodingRequests > slotsInUse || prefillMillis < 0
				|| memoryTokens < 0) {
			throw new IllegalArgumentException(
					"Summary has a negative number or more decoding requests than slots in use");
		}
	}

	/**
	 * Returns the key that identifies an endpoint in summaries.
	 * @param endpointHash hash of its identity
	 * @return the non-negative key
	 */
	public static int key(int endpointHash) {
		return (endpointHash ^ (endpointHash >>> KEY_BITS)) & ((1 << KEY_BITS) - 1);
	}

	/**
	 * Returns whether the summary contains no work.
	 * @return true if there is none
	 */
	public boolean isEmpty() {
		return this.slotsInUse == 0 && this.prefillMillis == 0 && this.memoryTokens == 0;
	}

	/**
	 * Returns whether this summary has more slots in use or more memory than another one
	 * of the same endpoint.
	 * @param other the other summary
	 * @return true if either is larger
	 */
	public boolean exceeds(EndpointSummary other) {
		return this.slotsInUse > other.slotsInUse || this.memoryTokens > other.memoryTokens;
	}

	/**
	 * Aggregates the work of one instance at one endpoint.
	 * @param endpointKey key of the endpoint
	 * @param items the work there
	 * @param nowMillis the current time
	 * @return the summary
	 */
	static EndpointSummary of(int endpointKey, List<WorkItem> items, long nowMillis) {
		int slotTotal = 0;
		int decodingTotal = 0;
		double prefillTotalMillis = 0;
		long memoryTotalTokens = 0;
		long minGapTargetMillis = 0;
		for (WorkItem item : items) {
			slotTotal += (item.phase() != WorkPhase.HELPER_PREFILL) ? 1 : 0;
			decodingTotal += (item.phase() == WorkPhase.DECODE) ? 1 : 0;
			prefillTotalMillis += item.remainingPrefillMillis(nowMillis);
			memoryTotalTokens += item.memoryTokens();
			if (item.gapTargetMillis() > 0 && item.phase() != WorkPhase.HELPER_PREFILL) {
				minGapTargetMillis = (minGapTargetMillis == 0) ? item.gapTargetMillis()
						: Math.min(minGapTargetMillis, item.gapTargetMillis());
			}
		}
		return new EndpointSummary(endpointKey, slotTotal, decodingTotal, Math.round(prefillTotalMillis),
				memoryTotalTokens, minGapTargetMillis);
	}

	/**
	 * Returns work items that add up to this summary. Their first tokens count as due at
	 * once because a summary has no due times.
	 * @param endpointHash hash of the endpoint's identity
	 * @param receivedMillis when the summary was received
	 * @return the items
	 */
	List<WorkItem> items(int endpointHash, long receivedMillis) {
		List<WorkItem> items = new ArrayList<>();
		int prefilling = this.slotsInUse - this.decodingRequests;
		int divisor = Math.max(1, this.slotsInUse);
		long memoryPerSlot = this.memoryTokens / divisor;
		for (int index = 0; index < this.slotsInUse; index++) {
			boolean decoding = index < this.decodingRequests;
			double prefill = (decoding) ? 0 : (double) this.prefillMillis / prefilling;
			items.add(new WorkItem(endpointHash, (decoding) ? WorkPhase.DECODE : WorkPhase.PREFILL, prefill, 1,
					memoryPerSlot, this.gapTargetMillis, receivedMillis, receivedMillis + (long) prefill, 1));
		}
		if (prefilling == 0 && (this.prefillMillis > 0 || this.slotsInUse == 0)) {
			items.add(new WorkItem(endpointHash, WorkPhase.HELPER_PREFILL, this.prefillMillis, 1,
					(this.slotsInUse == 0) ? this.memoryTokens : 0, 0, receivedMillis,
					receivedMillis + this.prefillMillis, 1));
		}
		return items;
	}

}
