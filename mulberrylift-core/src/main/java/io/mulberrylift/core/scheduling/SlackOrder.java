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
 * Orders queued requests by slack, that is by the latest time at which they may start,
 * put later for workspaces ahead of their fair share, and reserves engines for urgent
 * large requests that wait for free memory.
 *
 * <p>
 * Not thread-safe; owned by the scheduler. A queued request only moves forward relative
 * to later arrivals, so that no request starves.
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
	 * Sorts the requests and clears the reservations of the previous call.
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
	 * Returns whether a request has waited for so long that engines are reserved for it.
	 * @param request the request
	 * @param nowMonotonicMillis the current time
	 * @return {@code true} after a quarter of its timeout
	 */
	boolean isUrgent(PendingRequest request, long nowMonotonicMillis) {
		double waitedMillis = nowMonotonicMillis - request.arrivedMonotonicMillis();
		return waitedMillis >= URGENT_SHARE * request.spec().timeoutMillis();
	}

	void charge(PendingRequest request, int prefillTokens, long nowMonotonicMillis) {
		this.shares.charge(request.spec().workspace(), request.weight(), prefillTokens, nowMonotonicMillis);
	}

	/**
	 * Removes the engines reserved for more urgent requests from the candidates.
	 * @param candidates the engines, modified in place
	 */
	void removeReserved(List<EndpointLoad> candidates) {
		if (!this.reserved.isEmpty()) {
			candidates.removeIf((candidate) -> this.reserved.contains(candidate.state().id()));
		}
	}

	/**
	 * Reserves the engines with the most free memory for a request that could not be
	 * assigned.
	 * @param candidates engines that may run it
	 * @param count number of engines that it needs
	 */
	void reserve(List<EndpointLoad> candidates, int count) {
		candidates.stream()
			.sorted(Comparator.comparingLong((candidate) -> -candidate.freeMemoryTokens()))
			.limit(count)
			.forEach((candidate) -> this.reserved.add(candidate.state().id()));
	}

}
