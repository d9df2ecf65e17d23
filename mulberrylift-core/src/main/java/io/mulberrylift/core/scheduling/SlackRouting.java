package io.mulberrylift.core.scheduling;

import java.util.List;

/**
 * Selects the endpoint with the lowest predicted cost, sends long prompts only to the
 * long-prompt pool, and keeps large requests queued until an endpoint has capacity for
 * them.
 *
 * <p>
 * A pure function of the loads and of the random order in which equal candidates are
 * compared.
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
	 * Selects an endpoint.
	 * @param request the request
	 * @param candidates endpoints that can run it
	 * @param fleet the loads of all endpoints
	 * @param nowMonotonicMillis the current time
	 * @return the endpoint, {@code null} if none may run the request now
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
	 * Returns the priority on the engine: that of the profile, and within a profile a
	 * higher one for brief prompts.
	 * @param request the request
	 * @return the priority, higher runs first
	 */
	static int enginePriority(PendingRequest request) {
		int brief = (request.spec().promptTokens() <= BRIEF_PROMPT_TOKENS) ? 1 : 0;
		return request.profile().priority() * PRIORITY_STEP + brief;
	}

	/**
	 * Returns whether a request is so large that it stays queued until the engine has
	 * free memory.
	 * @param request the request
	 * @param candidate the engine
	 * @return {@code true} if it needs more than a tenth of the engine's memory
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
		long freeTokens = candidate.freeMemoryTokens();
		boolean fits = freeTokens >= totalTokens && (freeTokens - totalTokens >= RESERVED_MEMORY_SHARE * memoryTokens
				|| freeTokens >= memoryTokens * EMPTY_MEMORY_SHARE);
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
		double latenessMillis = Math.max(0, firstMillis + decodeMillis - budgetMillis);
		return firstMillis + DECODE_WEIGHT * decodeMillis + LATENESS_WEIGHT * latenessMillis;
	}

	/**
	 * Predicts the earliest completion of a request.
	 * @param request the request
	 * @param candidates endpoints that can run it
	 * @param fleet the loads of all endpoints
	 * @param queuedTokens prompt tokens of the requests queued at this instance, which
	 * delay large requests
	 * @param nowMonotonicMillis the current time
	 * @return time from now in milliseconds
	 */
	static double earliestCompletionMillis(PendingRequest request, List<EndpointLoad> candidates, FleetLoad fleet,
			long queuedTokens, long nowMonotonicMillis) {
		double earliestMillis = Double.MAX_VALUE;
		double queuedMillis = isLarge(request, candidates.get(0))
				? queuedTokens * fleet.liveInstances() / fleet.longPromptTokensPerMilli() : 0;
		double decodeFactor = fleet.isLongPrompt(request) ? 1 : SHORT_DECODE_FACTOR;
		double answerTokens = fleet.answerLengths().quantileTokens(request);
		for (EndpointLoad candidate : candidates) {
			if (mayRun(request, candidate, fleet)) {
				double firstMillis = queuedMillis + Prediction.firstTokenMillis(request, candidate,
						fleet.settings().longPromptTokens(), nowMonotonicMillis);
				double decodeMillis = Prediction.decodeMillis(candidate, answerTokens, firstMillis, nowMonotonicMillis);
				earliestMillis = Math.min(earliestMillis, firstMillis + decodeFactor * decodeMillis);
			}
		}
		return earliestMillis;
	}

	/**
	 * Returns the minimum prefill time of a request, on an idle engine at the highest
	 * estimated speed and with the cached prefix.
	 * @param request the request
	 * @param candidates endpoints that can run it, not empty
	 * @return the time in milliseconds, as shared by a gang of the maximum size
	 */
	static double minDurationMillis(PendingRequest request, List<EndpointLoad> candidates) {
		double leastMillis = Double.MAX_VALUE;
		for (EndpointLoad candidate : candidates) {
			int prefillTokens = request.spec().promptTokens() - candidate.cachedTokens(request.spec());
			leastMillis = Math.min(leastMillis, prefillTokens / candidate.speed().prefillTokensPerMilli());
		}
		return leastMillis / GangPlanner.MAX_MEMBERS;
	}

}
