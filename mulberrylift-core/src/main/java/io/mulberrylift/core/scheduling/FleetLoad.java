package io.mulberrylift.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.configuration.RoutingSettings;
import io.mulberrylift.core.fleet.EndpointState;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.FleetList;

/**
 * Load estimates of all endpoints, as seen by this instance.
 *
 * <p>
 * Not thread-safe; owned by the scheduler. The estimates of endpoints that are no longer
 * listed are removed on the next access.
 * </p>
 */
final class FleetLoad {

	private static final double USABLE_SPEED_SHARE = 0.3;

	private final FleetState fleet;

	private final RandomGenerator random;

	private final Map<EndpointId, EndpointLoad> loads = new HashMap<>();

	private final LongPromptPool longPromptPool;

	private final AnswerLengthEstimates answerLengths = new AnswerLengthEstimates();

	private FleetList countedList;

	private int liveInstances = 1;

	private int roundRobinIndex;

	FleetLoad(FleetState fleet, RandomGenerator random) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
		this.random = Objects.requireNonNull(random, "random");
		this.longPromptPool = new LongPromptPool(fleet);
	}

	RoutingSettings settings() {
		return this.fleet.configuration().orElseThrow().routing();
	}

	FleetState fleet() {
		return this.fleet;
	}

	LongPromptPool longPromptPool() {
		return this.longPromptPool;
	}

	AnswerLengthEstimates answerLengths() {
		return this.answerLengths;
	}

	/**
	 * Returns the number of entry instances that share the endpoints, this one included.
	 * @return number of instances that are not leaving, at least 1
	 */
	int liveInstances() {
		FleetList list = this.fleet.list();
		if (list != this.countedList) {
			this.countedList = list;
			this.liveInstances = (int) Math.max(1,
					list.instances().stream().filter((instance) -> !instance.leaving()).count());
		}
		return this.liveInstances;
	}

	/**
	 * Returns the combined prefill speed that the engines of the long-prompt pool have
	 * left for long prompts beside their other work.
	 * @return tokens per millisecond, positive
	 */
	double longPromptTokensPerMilli() {
		double tokensPerMilli = 0;
		for (EndpointLoad load : this.loads.values()) {
			if (this.longPromptPool.contains(load.state())) {
				tokensPerMilli += load.speed().prefillTokensPerMilli();
			}
		}
		return (tokensPerMilli > 0) ? tokensPerMilli * USABLE_SPEED_SHARE : SpeedEstimate.TYPICAL_TOKENS_PER_MILLI;
	}

	boolean isLongPrompt(PendingRequest request) {
		return request.spec().promptTokens() > settings().longPromptTokens();
	}

	RandomGenerator random() {
		return this.random;
	}

	int nextRoundRobinIndex() {
		this.roundRobinIndex = (this.roundRobinIndex + 1) & Integer.MAX_VALUE;
		return this.roundRobinIndex;
	}

	boolean inOwnZone(EndpointLoad load) {
		return load.state().description().zone().equals(this.fleet.self().zone());
	}

	/**
	 * Returns the load of a listed endpoint, creating it on first use.
	 * @param state the endpoint
	 * @return its load
	 */
	EndpointLoad load(EndpointState state) {
		EndpointLoad known = this.loads.get(state.id());
		if (known == null || known.state() != state) {
			known = new EndpointLoad(state, this);
			this.loads.put(state.id(), known);
		}
		return known;
	}

	/**
	 * Returns the load of an endpoint that may no longer be listed.
	 * @param id the endpoint
	 * @return its load, {@code null} if the endpoint is not listed
	 */
	EndpointLoad loadOrNull(EndpointId id) {
		EndpointState state = this.fleet.endpoint(id).orElse(null);
		if (state == null) {
			this.loads.remove(id);
			return null;
		}
		return load(state);
	}

	/**
	 * Returns the endpoints that serve a request and accept new work.
	 * @param request the request
	 * @param nowMonotonicMillis the current time
	 * @return a modifiable list of loads, ordered by the identities of the endpoints
	 */
	List<EndpointLoad> candidates(PendingRequest request, long nowMonotonicMillis) {
		List<EndpointLoad> candidates = new ArrayList<>();
		for (EndpointState state : this.fleet.endpoints()) {
			if (serves(state, request) && state.accepts(nowMonotonicMillis)) {
				EndpointLoad load = load(state);
				if (!(request.suspected() && load.runsSuspect())) {
					candidates.add(load);
				}
			}
		}
		return candidates;
	}

	private static boolean serves(EndpointState endpoint, PendingRequest request) {
		return endpoint.description().kind() == request.spec().kind()
				&& endpoint.description().targets().contains(request.spec().target())
				&& !request.excluded().contains(endpoint.id());
	}

	Map<String, Object> describe() {
		Map<String, Object> state = new java.util.TreeMap<>();
		this.loads.forEach((id, load) -> state.put(id.value(),
				Map.of("requests", load.ownRequests(), "tokens", load.ownTokens(), "freeMemoryTokens",
						load.freeMemoryTokens(), "prefillTokensPerSecond",
						Math.round(load.speed().prefillTokensPerMilli() * 1_000), "decodeGapMillis",
						Math.round(load.speed().decodeGapMillis()))));
		return state;
	}

}
