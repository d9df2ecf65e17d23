package io.mulberrylift.core.scheduling;

import java.util.List;

/**
 * Chooses the endpoint that is predicted to answer first, sends long prompts only to the
 * engines set aside for them, and holds back what no endpoint can start soon.
 *
 * <p>
 * A pure function of the loads and of the sampling of equal choices.
 * </p>
 */
final class SlackRouting {

	private static final double DECODE_WEIGHT = 0.02;

	private static final double SHORT_DECODE_FACTOR = 1.5;

	private static final int BRIEF_PROMPT_TOKENS = 2_000;

	private static final int PRIORITY_STEP = 10;

	private static final double LARGE_MEMORY_SHARE = 0.1;

	private static final double RESERVED_MEMORY_SHARE = 0.02;

	private static final double EMPTY_MEMORY_SHARE = 0.9;

	private static final long MAX_BACKLOG_TOKENS = 100_000;

	private static final double LATENESS_WEIGHT = 10;

	private SlackRouting() {
	}

	/**
	 * Chooses an endpoint.
	 * @param request the request
	 * @param candidates endpoints that can run it
	 * @param fleet the loads of all endpoints
	 * @param nowMonotonicMillis the current time
	 * @return the endpoint, null when none may take it now
	 */
	static EndpointLoad choose(PendingRequest request, List<EndpointLoad> candidates, FleetLoad fleet,
			long nowMonotonicMillis) {
		double budgetMillis = request.deadlineMonotonicMillis() - nowMonotonicMillis;
		EndpointLoad best = null;
		double bestCost = Double.MAX_VALUE;
		int first = fleet.random().nextInt(candidates.size());
		for (int i = 0; i < candidates.size(); i++) {
			EndpointLoad candidate = candidates.get((first + i) % candidates.size());
			if (!mayRun(request, candidate, fleet) || !hasCapacity(request, candidate, nowMonotonicMillis)) {
				continue;
			}
			double cost = costMillis(request, candidate, fleet, budgetMillis, nowMonotonicMillis);
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
		return best;
	}

	static boolean mayRun(PendingRequest request, EndpointLoad candidate, FleetLoad fleet) {
		return !fleet.isLongPrompt(request) || fleet.longPromptPool().contains(candidate.state());
	}

	/**
	 * Returns the priority on the engine: that of the profile, and within a profile brief
	 * prompts first.
	 * @param request the request
	 * @return the priority, higher goes first
	 */
	static int enginePriority(PendingRequest request) {
		int brief = (request.spec().promptTokens() <= BRIEF_PROMPT_TOKENS) ? 1 : 0;
		return request.profile().priority() * PRIORITY_STEP + brief;
	}

	/**
	 * Returns whether a request takes so much of an engine's memory that it waits for
	 * room before it is sent.
	 * @param request the request
	 * @param candidate the engine
	 * @return true if so
	 */
	static boolean isLarge(PendingRequest request, EndpointLoad candidate) {
		return request.spec().totalTokens() > LARGE_MEMORY_SHARE * candidate.state().description().memoryTokens();
	}

	private static boolean hasCapacity(PendingRequest request, EndpointLoad candidate, long nowMonotonicMillis) {
		if (!isLarge(request, candidate)) {
			return true;
		}
		long memoryTokens = candidate.state().description().memoryTokens();
		long totalTokens = request.spec().totalTokens();
		long free = candidate.freeMemoryTokens();
		boolean fits = free >= totalTokens && (free - totalTokens >= RESERVED_MEMORY_SHARE * memoryTokens
				|| free >= memoryTokens * EMPTY_MEMORY_SHARE);
		return fits && candidate.prefillTokens(nowMonotonicMillis) <= MAX_BACKLOG_TOKENS;
	}

	private static double costMillis(PendingRequest request, EndpointLoad candidate, FleetLoad fleet,
			double budgetMillis, long nowMonotonicMillis) {
		double zoneMillis = fleet.inOwnZone(candidate) ? 0 : fleet.settings().crossZonePenaltyMillis();
		double firstMillis = zoneMillis + Prediction.firstTokenMillis(request, candidate,
				fleet.settings().longPromptTokens(), nowMonotonicMillis);
		double decodeMillis = Prediction.decodeMillis(candidate, fleet.answerLengths().meanTokens(request), firstMillis,
				nowMonotonicMillis);
		if (candidate.freeMemoryTokens() < request.spec().totalTokens()) {
			firstMillis += candidate.prefillTokens(nowMonotonicMillis) / candidate.speed().prefillTokensPerMilli();
		}
		double lateMillis = Math.max(0, firstMillis + decodeMillis - budgetMillis);
		return firstMillis + DECODE_WEIGHT * decodeMillis + LATENESS_WEIGHT * lateMillis;
	}

	/**
	 * Predicts the earliest end of a request.
	 * @param request the request
	 * @param candidates endpoints that can run it
	 * @param fleet the loads of all endpoints
	 * @param heldTokens prompt tokens of large requests that wait at this instance
	 * @param nowMonotonicMillis the current time
	 * @return milliseconds from now
	 */
	static double earliestCompletionMillis(PendingRequest request, List<EndpointLoad> candidates, FleetLoad fleet,
			long heldTokens, long nowMonotonicMillis) {
		double earliest = Double.MAX_VALUE;
		double heldMillis = isLarge(request, candidates.get(0))
				? heldTokens * fleet.liveInstances() / fleet.longPromptTokensPerMilli() : 0;
		double decodeFactor = fleet.isLongPrompt(request) ? 1 : SHORT_DECODE_FACTOR;
		double answerTokens = fleet.answerLengths().quantileTokens(request);
		for (EndpointLoad candidate : candidates) {
			if (mayRun(request, candidate, fleet)) {
				double firstMillis = heldMillis + Prediction.firstTokenMillis(request, candidate,
						fleet.settings().longPromptTokens(), nowMonotonicMillis);
				double decodeMillis = Prediction.decodeMillis(candidate, answerTokens, firstMillis, nowMonotonicMillis);
				earliest = Math.min(earliest, firstMillis + decodeFactor * decodeMillis);
			}
		}
		return earliest;
	}

	/**
	 * Returns the time that a request takes at least, on an idle engine at the highest
	 * learned speed and with a cached prefix.
	 * @param request the request
	 * @param candidates endpoints that can run it, not empty
	 * @return milliseconds
	 */
	static double minDurationMillis(PendingRequest request, List<EndpointLoad> candidates) {
		double least = Double.MAX_VALUE;
		for (EndpointLoad candidate : candidates) {
			int prefillTokens = request.spec().promptTokens() - candidate.cachedTokens(request.spec());
			least = Math.min(least, prefillTokens / candidate.speed().prefillTokensPerMilli());
		}
		return least / GangPlanner.MAX_MEMBERS;
	}

}
