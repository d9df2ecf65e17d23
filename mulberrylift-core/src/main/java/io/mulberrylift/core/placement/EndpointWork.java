package io.mulberrylift.core.placement;

import java.util.List;
import java.util.Objects;

import io.mulberrylift.core.forwarding.ForwardEndpoint;

/**
 * An endpoint and the known work in progress there.
 *
 * <p>
 * Immutable snapshot for one placement decision.
 * </p>
 *
 * @param endpoint the endpoint
 * @param items work items of this instance and of its peers
 * @param health health of the endpoint
 */
public record EndpointWork(ForwardEndpoint endpoint, List<WorkItem> items, EndpointHealth health) {

	/**
	 * Creates the view.
	 */
	public EndpointWork {
		Objects.requireNonNull(endpoint, "endpoint");
		Objects.requireNonNull(health, "health");
		items = List.copyOf(items);
	}

	/**
	 * Returns the number of requests that occupy a slot.
	 * @return the number of items that are not helper prefills
	 */
	public int slotsInUse() {
		return (int) this.items.stream().filter((item) -> item.phase() != WorkPhase.HELPER_PREFILL).count();
	}

	/**
	 * Returns the number of prompts of which the endpoint prefills a part as a helper.
	 * @return the number of helper prefills
	 */
	public int helperPrefills() {
		return this.items.size() - slotsInUse();
	}

	/**
	 * Returns the number of requests that are decoding.
	 * @return the number of items in the decode phase
	 */
	public int decodingRequests() {
		return (int) this.items.stream().filter((item) -> item.phase() == WorkPhase.DECODE).count();
	}

	/**
	 * Returns the engine memory that is in use or reserved.
	 * @return the sum in tokens
	 */
	public long memoryTokens() {
		return this.items.stream().mapToLong(WorkItem::memoryTokens).sum();
	}

	/**
	 * Returns the remaining prefill time of all items.
	 * @param nowMillis the current time
	 * @return the time in milliseconds
	 */
	public double prefillBacklogMillis(long nowMillis) {
		return this.items.stream().mapToDouble((item) -> item.remainingPrefillMillis(nowMillis)).sum();
	}

	/**
	 * Returns the maximum prefill time in one iteration that also decodes.
	 * @param model cost model of the endpoint
	 * @param nowMillis the current time
	 * @return the time in milliseconds
	 */
	public double iterationPrefillMillis(EngineCostModel model, long nowMillis) {
		double longest = this.items.stream()
			.filter((item) -> item.remainingPrefillMillis(nowMillis) > 0)
			.mapToDouble((item) -> model.iterationPrefillMillis(item.totalPrefillMillis()))
			.max()
			.orElse(0);
		return Math.min(longest, prefillBacklogMillis(nowMillis));
	}

	/**
	 * Returns the maximum time of the endpoint's current iteration, by all known work
	 * that is not decoding yet. During that time, the absence of output does not indicate
	 * a fault.
	 * @param model cost model of the endpoint
	 * @return the time in milliseconds
	 */
	public double maxIterationMillis(EngineCostModel model) {
		double prefill = this.items.stream()
			.mapToDouble(
					(item) -> Math.min(item.prefillMillis(), model.iterationPrefillMillis(item.totalPrefillMillis())))
			.max()
			.orElse(0);
		return iterationDecodeMillis(model, 0) + prefill;
	}

	/**
	 * Returns the time of the decode steps of one iteration.
	 * @param model cost model of the endpoint
	 * @param added number of decoding requests to add to the known ones
	 * @return the time in milliseconds
	 */
	public double iterationDecodeMillis(EngineCostModel model, int added) {
		long contextTokens = 0;
		int decoding = added;
		for (WorkItem item : this.items) {
			if (item.phase() == WorkPhase.DECODE) {
				decoding++;
				contextTokens += item.memoryTokens();
			}
		}
		return model.iterationDecodeMillis(decoding, contextTokens);
	}

}
