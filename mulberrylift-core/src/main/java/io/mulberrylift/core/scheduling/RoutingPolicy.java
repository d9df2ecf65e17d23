package io.mulberrylift.core.scheduling;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Ways to choose the endpoint of a request. Each is selected by its label in the
 * published configuration.
 */
public enum RoutingPolicy {

	/** Any endpoint with equal chance. */
	RANDOM {
		@Override
		EndpointLoad choose(PendingRequest request, List<EndpointLoad> candidates, FleetLoad fleet,
				long nowMonotonicMillis) {
			return candidates.get(fleet.random().nextInt(candidates.size()));
		}
	},

	/** The endpoints in turn. */
	ROUND_ROBIN {
		@Override
		EndpointLoad choose(PendingRequest request, List<EndpointLoad> candidates, FleetLoad fleet,
				long nowMonotonicMillis) {
			return candidates.get(fleet.nextRoundRobinIndex() % candidates.size());
		}
	},

	/** The endpoint with the fewest requests, as reported and sent since. */
	LEAST_REQUESTS {
		@Override
		EndpointLoad choose(PendingRequest request, List<EndpointLoad> candidates, FleetLoad fleet,
				long nowMonotonicMillis) {
			return lowestCost(candidates, fleet, EndpointLoad::requests);
		}
	},

	/** The endpoint with the fewest prompt tokens ahead and tokens of this instance. */
	LEAST_OUTSTANDING_TOKENS {
		@Override
		EndpointLoad choose(PendingRequest request, List<EndpointLoad> candidates, FleetLoad fleet,
				long nowMonotonicMillis) {
			return lowestCost(candidates, fleet,
					(candidate) -> Math.max(candidate.ownTokens(), candidate.prefillTokens(nowMonotonicMillis)));
		}
	},

	/** The endpoint that a prompt's first block hashes to, unless its load is high. */
	PREFIX_AFFINITY {
		@Override
		EndpointLoad choose(PendingRequest request, List<EndpointLoad> candidates, FleetLoad fleet,
				long nowMonotonicMillis) {
			double meanRequests = candidates.stream().mapToInt(EndpointLoad::requests).average().orElse(0);
			double bound = Math.ceil(LOAD_BOUND * (meanRequests + 1));
			long block = (request.spec().prefixBlocks().length > 0) ? request.spec().prefixBlocks()[0]
					: request.spec().fingerprint();
			return lowestCost(candidates, fleet,
					(candidate) -> ((candidate.requests() < bound) ? 0 : 2) + hashFraction(block, candidate));
		}
	},

	/** The endpoint with the earliest predicted end, in the order of deadlines. */
	SLACK {
		@Override
		EndpointLoad choose(PendingRequest request, List<EndpointLoad> candidates, FleetLoad fleet,
				long nowMonotonicMillis) {
			return SlackRouting.choose(request, candidates, fleet, nowMonotonicMillis);
		}

		@Override
		boolean mayRun(PendingRequest request, EndpointLoad candidate, FleetLoad fleet) {
			return SlackRouting.mayRun(request, candidate, fleet);
		}

		@Override
		int enginePriority(PendingRequest request) {
			return SlackRouting.enginePriority(request);
		}

		@Override
		boolean predictsCompletion() {
			return true;
		}
	};

	private static final double LOAD_BOUND = 1.25;

	private static final double HASH_RANGE = 0x1p53;

	private static final int HASH_SHIFT = 11;

	/**
	 * Returns the name used in the published configuration.
	 * @return the lower-case name with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Finds a policy by its label.
	 * @param label the label, may be null
	 * @return the policy, empty when no policy has the label
	 */
	public static Optional<RoutingPolicy> ofLabel(String label) {
		return Arrays.stream(values()).filter((policy) -> policy.label().equals(label)).findFirst();
	}

	/**
	 * Chooses an endpoint.
	 * @param request the request
	 * @param candidates endpoints that can run it, not empty
	 * @param fleet the loads of all endpoints
	 * @param nowMonotonicMillis the current time
	 * @return the endpoint, null when none may take the request now
	 */
	abstract EndpointLoad choose(PendingRequest request, List<EndpointLoad> candidates, FleetLoad fleet,
			long nowMonotonicMillis);

	/**
	 * Returns whether requests are refused that are predicted to miss their deadline.
	 * @return true if so
	 */
	boolean predictsCompletion() {
		return false;
	}

	/**
	 * Returns the priority of a request towards other work on its engine.
	 * @param request the request
	 * @return the priority, higher goes first
	 */
	int enginePriority(PendingRequest request) {
		return request.profile().priority();
	}

	/**
	 * Returns whether an endpoint may run a request at all.
	 * @param request the request
	 * @param candidate the endpoint
	 * @param fleet the loads of all endpoints
	 * @return true if so
	 */
	boolean mayRun(PendingRequest request, EndpointLoad candidate, FleetLoad fleet) {
		return true;
	}

	private static EndpointLoad lowestCost(List<EndpointLoad> candidates, FleetLoad fleet,
			ToDoubleFunction<EndpointLoad> cost) {
		int first = fleet.random().nextInt(candidates.size());
		EndpointLoad best = candidates.get(first);
		double bestCost = cost.applyAsDouble(best);
		for (int i = 1; i < candidates.size(); i++) {
			EndpointLoad candidate = candidates.get((first + i) % candidates.size());
			double candidateCost = cost.applyAsDouble(candidate);
			if (candidateCost < bestCost) {
				best = candidate;
				bestCost = candidateCost;
			}
		}
		return best;
	}

	private static double hashFraction(long block, EndpointLoad candidate) {
		long hash = (block ^ candidate.state().id().hashCode() * 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
		hash = (hash ^ (hash >>> 31)) * 0x94D049BB133111EBL;
		return ((hash ^ (hash >>> 29)) >>> HASH_SHIFT) / HASH_RANGE;
	}

}
