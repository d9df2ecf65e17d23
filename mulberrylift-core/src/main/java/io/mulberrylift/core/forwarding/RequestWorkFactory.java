package io.mulberrylift.core.forwarding;

import java.util.List;

import io.mulberrylift.core.placement.Placement;
import io.mulberrylift.core.placement.PromptDemand;
import io.mulberrylift.core.placement.RequestWork;
import io.mulberrylift.core.placement.WorkTable;

/**
 * Creates the work that peers are told of a request. Stateless and thread-safe.
 */
final class RequestWorkFactory {

	private RequestWorkFactory() {
	}

	/**
	 * Creates the work of a request at its placement.
	 * @param state the request
	 * @param demand demand of its prompt, not used for other requests
	 * @param nowMillis the current time
	 * @return the work
	 */
	static RequestWork create(ForwardState state, PromptDemand demand, long nowMillis) {
		Placement placement = state.placement;
		int endpointHash = WorkTable.hash(placement.endpoint().id());
		if (!state.isPrompt()) {
			// Peers read the two times as those of the start and the end of the work.
			long start = state.estimate.map((each) -> each.startMillis(nowMillis)).orElse(state.deadlineMillis);
			long end = state.estimate.map((each) -> each.endMillis(nowMillis)).orElse(state.deadlineMillis);
			return new RequestWork(false, 0, 0, 0, 0, start, end, 1, endpointHash, List.of());
		}
		long due = nowMillis + demand.firstTokenTimeLeftMillis();
		long expected = nowMillis + (long) placement.expectedFirstTokenMillis();
		long reservedTokens = state.reservations.isEmpty() ? 0 : state.reservedTokensPerEngine;
		return new RequestWork(false, placement.partPrefillMillis(),
				(reservedTokens > 0) ? reservedTokens : demand.memoryTokens(), reservedTokens, demand.gapTargetMillis(),
				due, expected, demand.weight(), endpointHash,
				placement.helpers().stream().map((helper) -> WorkTable.hash(helper.id())).toList());
	}

}
