package io.mulberrylift.core.placement;

import java.util.Comparator;
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
		int count = 0;
		for (WorkItem item : this.items) {
			count += (item.phase() != WorkPhase.HELPER_PREFILL) ? 1 : 0;
		}
		return count;
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
		int count = 0;
		for (WorkItem item : this.items) {
			count += (item.phase() == WorkPhase.DECODE) ? 1 : 0;
		}
		return count;
	}

	/**
	 * Returns the engine memory that is in use or reserved.
	 * @return the sum in tokens
	 */
	public long memoryTokens() {
		long tokens = 0;
		for (WorkItem item : this.items) {
			tokens += item.memoryTokens();
		}
		return tokens;
	}

	/**
	 * Returns the remaining prefill time of all items.
	 * @param nowMillis the current time
	 * @return the time in milliseconds
	 */
	public double prefillBacklogMillis(long nowMillis) {
		double millis = 0;
		for (WorkItem item : this.items) {
			millis += item.remainingPrefillMillis(nowMillis);
		}
		return millis;
	}

	/**
	 * Returns the maximum prefill time in one iteration that also decodes.
	 * @param model cost model of the endpoint
	 * @param nowMillis the current time
	 * @return the time in milliseconds
	 */
	public double iterationPrefillMillis(EngineCostModel model, long nowMillis) {
		double longest = 0;
		double backlogMillis = 0;
		for (WorkItem item : this.items) {
			double remainingMillis = item.remainingPrefillMillis(nowMillis);
			backlogMillis += remainingMillis;
			if (remainingMillis > 0) {
				longest = Math.max(longest, model.iterationPrefillMillis(item.totalPrefillMillis()));
			}
		}
		return Math.min(longest, backlogMillis);
	}

	/**
	 * Returns the maximum time of the endpoint's current iteration, by all known work
	 * that is not decoding yet. During that time, the absence of output does not indicate
	 * a fault.
	 * @param model cost model of the endpoint
	 * @return the time in milliseconds
	 */
	public double maxIterationMillis(EngineCostModel model) {
		double prefill = 0;
		for (WorkItem item : this.items) {
			prefill = Math.max(prefill,
					Math.min(item.prefillMillis(), model.iterationPrefillMillis(item.totalPrefillMillis())));
		}
		return iterationDecodeMillis(model, 0) + prefill;
	}

	/**
	 * Returns the maximum time before a request advances, by all known work. A request
	 * that decodes advances with each iteration, which prefills a limited number of
	 * tokens; one that is not decoding yet may have to wait for all the others.
	 * @param model cost model of the endpoint
	 * @param requestDecodes whether the request is decoding
	 * @return the time in milliseconds
	 */
	public double maxReadingMillis(EngineCostModel model, boolean requestDecodes) {
		List<WorkItem> reading = this.items.stream()
			.filter((item) -> item.prefillMillis() > 0)
			.sorted(Comparator
				.comparingDouble((WorkItem item) -> -model.maxTokenPrefillMillis(item.totalPrefillMillis())))
			.toList();
		double millis = iterationDecodeMillis(model, 0);
		double tokensLeft = (requestDecodes) ? model.prefillTokensPerIteration() : Double.POSITIVE_INFINITY;
		for (WorkItem item : reading) {
			double tokens = Math.min(tokensLeft, model.promptTokens(item.totalPrefillMillis()) / item.parts());
			tokensLeft -= tokens;
			millis += Math.min(item.prefillMillis(), tokens * model.maxTokenPrefillMillis(item.totalPrefillMillis()));
		}
		return millis;
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
