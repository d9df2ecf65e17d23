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

	private static final double LATE_WEIGHT = 10;

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
			if (!mayTake(request, candidate, fleet)) {
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

	private static boolean mayTake(PendingRequest request, EndpointLoad candidate, FleetLoad fleet) {
		return !fleet.isLong(request) || fleet.longLane().contains(candidate.state());
	}

	private static double costMillis(PendingRequest request, EndpointLoad candidate, FleetLoad fleet,
			double budgetMillis, long nowMonotonicMillis) {
		double zoneMillis = fleet.inOwnZone(candidate) ? 0 : fleet.settings().crossZonePenaltyMillis();
		double firstMillis = zoneMillis + Prediction.firstTokenMillis(request, candidate,
				fleet.settings().longPromptTokens(), nowMonotonicMillis);
		double decodeMillis = Prediction.decodeMillis(candidate, fleet.answers().meanTokens(request), firstMillis,
				nowMonotonicMillis);
		double lateMillis = Math.max(0, firstMillis + decodeMillis - budgetMillis);
		return firstMillis + DECODE_WEIGHT * decodeMillis + LATE_WEIGHT * lateMillis;
	}

	/**
	 * Predicts the earliest end of a request.
	 * @param request the request
	 * @param candidates endpoints that can run it
	 * @param fleet the loads of all endpoints
	 * @param nowMonotonicMillis the current time
	 * @return milliseconds from now
	 */
	static double earliestEndMillis(PendingRequest request, List<EndpointLoad> candidates, FleetLoad fleet,
			long nowMonotonicMillis) {
		double earliest = Double.MAX_VALUE;
		double answerTokens = fleet.answers().expectedTokens(request);
		for (EndpointLoad candidate : candidates) {
			if (mayTake(request, candidate, fleet)) {
				double firstMillis = Prediction.firstTokenMillis(request, candidate,
						fleet.settings().longPromptTokens(), nowMonotonicMillis);
				double decodeMillis = Prediction.decodeMillis(candidate, answerTokens, firstMillis, nowMonotonicMillis);
				earliest = Math.min(earliest, firstMillis + decodeMillis);
			}
		}
		return earliest;
	}

}
