package io.mulberrylift.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.mulberrylift.core.fairness.FairShare;
import io.mulberrylift.core.model.EndpointId;

/**
 * Orders waiting requests by the latest time at which they may start, later for
 * workspaces that are ahead of their share, and keeps engines free for the first large
 * request that waits for room.
 *
 * <p>
 * Not safe for use by several threads; owned by the scheduler. A request that waits only
 * moves forward relative to later ones, so that none waits for ever.
 * </p>
 */
final class SlackOrder {

	private static final double URGENT_SHARE = 0.25;

	private final FleetLoad fleet;

	private final FairShare shares = new FairShare();

	private final Set<EndpointId> reserved = new HashSet<>();

	SlackOrder(FleetLoad fleet) {
		this.fleet = fleet;
	}

	/**
	 * Sorts the requests and forgets the reservations of the last round.
	 * @param requests the requests
	 * @return the requests, the most urgent first
	 */
	List<PendingRequest> sort(Collection<PendingRequest> requests) {
		this.reserved.clear();
		List<PendingRequest> sorted = new ArrayList<>(requests);
		if (sorted.size() > 1) {
			Map<Long, Double> keys = new HashMap<>();
			sorted.forEach((request) -> keys.put(request.requestId(), latestStartMillis(request)));
			sorted.sort(Comparator.comparingDouble((request) -> keys.get(request.requestId())));
		}
		return sorted;
	}

	private double latestStartMillis(PendingRequest request) {
		double leadMillis = this.shares.leadTokens(request.spec().workspace()) * this.fleet.liveInstances()
				/ this.fleet.longPromptTokensPerMilli();
		return request.deadlineMonotonicMillis()
				- request.spec().promptTokens() / SpeedEstimate.TYPICAL_TOKENS_PER_MILLI + leadMillis;
	}

	/**
	 * Returns whether a request has used so much of its time that others must make room.
	 * @param request the request
	 * @param nowMonotonicMillis the current time
	 * @return true if so
	 */
	boolean isUrgent(PendingRequest request, long nowMonotonicMillis) {
		double waitedMillis = nowMonotonicMillis - request.arrivedMonotonicMillis();
		return waitedMillis >= URGENT_SHARE * request.spec().timeoutMillis();
	}

	void charge(PendingRequest request, int prefillTokens, long nowMonotonicMillis) {
		this.shares.charge(request.spec().workspace(), request.weight(), prefillTokens, nowMonotonicMillis);
	}

	/**
	 * Takes the engines kept for more urgent requests out of the candidates.
	 * @param candidates engines, which are changed
	 */
	void removeReserved(List<EndpointLoad> candidates) {
		if (!this.reserved.isEmpty()) {
			candidates.removeIf((candidate) -> this.reserved.contains(candidate.state().id()));
		}
	}

	/**
	 * Keeps the engines with the most free memory for a request that found no room.
	 * @param candidates engines that may run it
	 * @param count how many engines it needs
	 */
	void reserve(List<EndpointLoad> candidates, int count) {
		candidates.stream()
			.sorted(Comparator.comparingLong((candidate) -> -candidate.freeMemoryTokens()))
			.limit(count)
			.forEach((candidate) -> this.reserved.add(candidate.state().id()));
	}

}
