package io.mulberrylift.core.scheduling;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Policies for selecting the endpoint of a request. The published configuration selects a
 * policy by its label.
 */
public enum RoutingPolicy {

	/** Selects an endpoint uniformly at random. */
	RANDOM {
		@Override
		EndpointLoad choose(PendingRequest request, List<EndpointLoad> candidates, FleetLoad fleet,
				long nowMonotonicMillis) {
			return candidates.get(fleet.random().nextInt(candidates.size()));
		}
	},

	/** Selects the endpoints in turn. */
	ROUND_ROBIN {
		@Override
		EndpointLoad choose(PendingRequest request, List<EndpointLoad> candidates, FleetLoad fleet,
				long nowMonotonicMillis) {
			return candidates.get(fleet.nextRoundRobinIndex() % candidates.size());
		}
	},

	/**
	 * Selects the endpoint with the fewest requests: those in its last report and those
	 * sent since.
	 */
	LEAST_REQUESTS {
		@Override
		EndpointLoad choose(PendingRequest request, List<EndpointLoad> candidates, FleetLoad fleet,
				long nowMonotonicMillis) {
			return lowestCost(candidates, fleet, EndpointLoad::requests);
		}
	},

	/**
	 * Selects the endpoint with the fewest outstanding tokens: the greater of its prefill
	 * backlog and the tokens of this instance's requests.
	 */
	LEAST_OUTSTANDING_TOKENS {
		@Override
		EndpointLoad choose(PendingRequest request, List<EndpointLoad> candidates, FleetLoad fleet,
				long nowMonotonicMillis) {
			return lowestCost(candidates, fleet,
					(candidate) -> Math.max(candidate.ownTokens(), candidate.prefillTokens(nowMonotonicMillis)));
		}
	},

	/**
	 * Selects the endpoint that the prompt's first block hashes to, unless its load is
	 * too far above the mean.
	 */
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

	/** Selects the endpoint with the lowest predicted cost in time, in order of slack. */
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
	 * Returns the label used in the published configuration.
	 * @return the name in lower case with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Finds a policy by its label.
	 * @param label the label, may be null
	 * @return the policy, empty if no policy has the label
	 */
	public static Optional<RoutingPolicy> ofLabel(String label) {
		return Arrays.stream(values()).filter((policy) -> policy.label().equals(label)).findFirst();
	}

	/**
	 * Selects an endpoint.
	 * @param request the request
	 * @param candidates endpoints that can run it, not empty
	 * @param fleet the loads of all endpoints
	 * @param nowMonotonicMillis the current time
	 * @return the endpoint, {@code null} if none may run the request now
	 */
	abstract EndpointLoad choose(PendingRequest request, List<EndpointLoad> candidates, FleetLoad fleet,
			long nowMonotonicMillis);

	/**
	 * Returns whether the policy predicts completion times.
	 * @return {@code true} if requests are ordered by slack and refused when they are
	 * predicted to miss their deadlines
	 */
	boolean predictsCompletion() {
		return false;
	}

	/**
	 * Returns the priority of a request on its engine.
	 * @param request the request
	 * @return the priority, higher runs first
	 */
	int enginePriority(PendingRequest request) {
		return request.profile().priority();
	}

	/**
	 * Returns whether an endpoint may run a request, regardless of its load.
	 * @param request the request
	 * @param candidate the endpoint
	 * @param fleet the loads of all endpoints
	 * @return {@code true} if it may, by default
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
