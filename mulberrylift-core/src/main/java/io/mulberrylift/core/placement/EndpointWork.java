package io.mulberrylift.core.placement;

import java.util.List;
import java.util.Objects;

import io.mulberrylift.core.forwarding.ForwardEndpoint;

/**
 * An endpoint with all work that is known to be in progress there.
 *
 * <p>
 * Immutable; built for one decision.
 * </p>
 *
 * @param endpoint the endpoint
 * @param items work of this instance and of its peers
 * @param health how well attempts at the endpoint end
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
	 * Returns the requests that take a slot.
	 * @return the number of items apart from helping ones
	 */
	public int slotsInUse() {
		return (int) this.items.stream().filter((item) -> item.phase() != WorkPhase.HELPER_PREFILL).count();
	}

	/**
	 * Returns the prompts that the endpoint helps to read.
	 * @return the number of helping items
	 */
	public int helperPrefills() {
		return this.items.size() - slotsInUse();
	}

	/**
	 * Returns the requests whose answers are being written.
	 * @return the number of writing items
	 */
	public int decodingRequests() {
		return (int) this.items.stream().filter((item) -> item.phase() == WorkPhase.DECODE).count();
	}

	/**
	 * Returns the engine memory in use or promised.
	 * @return the sum in tokens
	 */
	public long memoryTokens() {
		return this.items.stream().mapToLong(WorkItem::memoryTokens).sum();
	}

	/**
	 * Returns the reading time that is left here.
	 * @param nowMillis the current time
	 * @return the time in milliseconds
	 */
	public double prefillBacklogMillis(long nowMillis) {
		return this.items.stream().mapToDouble((item) -> item.remainingPrefillMillis(nowMillis)).sum();
	}

	/**
	 * Returns the longest reading that a pass with writers may hold here.
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
	 * Returns how long the pass may take that the endpoint is in, by all work known there
	 * that has not begun to write: the time in which its silence says nothing.
	 * @param model cost model of the endpoint
	 * @return the time in milliseconds
	 */
	public double maxIterationMillis(EngineCostModel model) {
		double reading = this.items.stream()
			.mapToDouble(
					(item) -> Math.min(item.prefillMillis(), model.iterationPrefillMillis(item.totalPrefillMillis())))
			.max()
			.orElse(0);
		return iterationDecodeMillis(model, 0) + reading;
	}

	/**
	 * Returns the time of the token steps of one pass.
	 * @param model cost model of the endpoint
	 * @param added writing requests added to the known ones
	 * @return the time in milliseconds
	 */
	public double iterationDecodeMillis(EngineCostModel model, int added) {
		long context = 0;
		int writers = added;
		for (WorkItem item : this.items) {
			if (item.phase() == WorkPhase.DECODE) {
				writers++;
				context += item.memoryTokens();
			}
		}
		return model.iterationDecodeMillis(writers, context);
	}

}
