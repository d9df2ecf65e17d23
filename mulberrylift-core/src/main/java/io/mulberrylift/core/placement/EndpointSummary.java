package io.mulberrylift.core.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * The work of one instance at one endpoint in sum, told instead of single requests in
 * fleets where those are too many to tell.
 *
 * <p>
 * Immutable. Endpoints are named by {@value #KEY_BITS} bits of a hash; two endpoints with
 * equal keys each count the work of both, which overstates it and harms nothing else.
 * </p>
 *
 * @param endpointKey key of the endpoint
 * @param slotsInUse requests that take a slot
 * @param decodingRequests those of them whose answers have begun
 * @param prefillMillis reading time that is left, parts for other endpoints counted
 * @param memoryTokens tokens of engine memory held
 * @param gapTargetMillis shortest pause target of an answer; 0 for none
 */
public record EndpointSummary(int endpointKey, int slotsInUse, int decodingRequests, long prefillMillis,
		long memoryTokens, long gapTargetMillis) {

	private static final int KEY_BITS = 16;

	/**
	 * Creates the summary.
	 * @throws IllegalArgumentException if a number is negative or writers exceed slots
	 */
	public EndpointSummary {
		if (slotsInUse < 0 || decodingRequests < 0 || decodingRequests > slotsInUse || prefillMillis < 0
				|| memoryTokens < 0) {
			throw new IllegalArgumentException("Summary has negative numbers or more writers than slots");
		}
	}

	/**
	 * Returns the key that names an endpoint in summaries.
	 * @param endpointHash hash of its identity
	 * @return the key, not negative
	 */
	public static int key(int endpointHash) {
		return (endpointHash ^ (endpointHash >>> KEY_BITS)) & ((1 << KEY_BITS) - 1);
	}

	/**
	 * Returns whether all that is summed is over.
	 * @return true if so
	 */
	public boolean isEmpty() {
		return this.slotsInUse == 0 && this.prefillMillis == 0 && this.memoryTokens == 0;
	}

	/**
	 * Returns whether it shows work that another summary of the endpoint does not.
	 * @param told the other one
	 * @return true if so
	 */
	public boolean exceeds(EndpointSummary told) {
		return this.slotsInUse > told.slotsInUse || this.memoryTokens > told.memoryTokens;
	}

	/**
	 * Sums the work of one instance at one endpoint.
	 * @param endpointKey key of the endpoint
	 * @param items the work there
	 * @param nowMillis the current time
	 * @return the sum
	 */
	static EndpointSummary of(int endpointKey, List<WorkItem> items, long nowMillis) {
		int slotSum = 0;
		int writerSum = 0;
		double readSumMillis = 0;
		long memorySumTokens = 0;
		long leastGapMillis = 0;
		for (WorkItem item : items) {
			slotSum += (item.phase() != WorkPhase.HELPER_PREFILL) ? 1 : 0;
			writerSum += (item.phase() == WorkPhase.DECODE) ? 1 : 0;
			readSumMillis += item.remainingPrefillMillis(nowMillis);
			memorySumTokens += item.memoryTokens();
			if (item.gapTargetMillis() > 0 && item.phase() != WorkPhase.HELPER_PREFILL) {
				leastGapMillis = (leastGapMillis == 0) ? item.gapTargetMillis()
						: Math.min(leastGapMillis, item.gapTargetMillis());
			}
		}
		return new EndpointSummary(endpointKey, slotSum, writerSum, Math.round(readSumMillis), memorySumTokens,
				leastGapMillis);
	}

	/**
	 * Returns work of the same sum. When first tokens are due is not known, so that it
	 * counts as due at once.
	 * @param endpointHash hash of the endpoint's identity
	 * @param heardMillis when the summary was heard
	 * @return the items
	 */
	List<WorkItem> items(int endpointHash, long heardMillis) {
		List<WorkItem> items = new ArrayList<>();
		int readers = this.slotsInUse - this.decodingRequests;
		int shares = Math.max(1, this.slotsInUse);
		long memoryEach = this.memoryTokens / shares;
		for (int index = 0; index < this.slotsInUse; index++) {
			boolean writing = index < this.decodingRequests;
			double reading = (writing) ? 0 : (double) this.prefillMillis / readers;
			items.add(new WorkItem(endpointHash, (writing) ? WorkPhase.DECODE : WorkPhase.PREFILL, reading, 1,
					memoryEach, this.gapTargetMillis, heardMillis, heardMillis + (long) reading, 1));
		}
		if (readers == 0 && (this.prefillMillis > 0 || this.slotsInUse == 0)) {
			items.add(new WorkItem(endpointHash, WorkPhase.HELPER_PREFILL, this.prefillMillis, 1,
					(this.slotsInUse == 0) ? this.memoryTokens : 0, 0, heardMillis, heardMillis + this.prefillMillis,
					1));
		}
		return items;
	}

}
