package io.mulberrylift.core.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.admission.AdmissionControl;
import io.mulberrylift.core.admission.AdmissionDecision;
import io.mulberrylift.core.admission.AdmissionRequest;
import io.mulberrylift.core.admission.ServiceRoom;
import io.mulberrylift.core.gossip.DemandFigure;
import io.mulberrylift.core.placement.EndpointWork;
import io.mulberrylift.core.placement.EngineCostModel;
import io.mulberrylift.core.placement.ObservedLoad;
import io.mulberrylift.core.placement.Placement;

/**
 * Asks for the admission of requests: states what a request costs and what room its
 * service has.
 *
 * <p>
 * Not thread-safe; owned by the reducer. A place of an engine service is an engine, one
 * of another service a slot. Each request is decided on once, by the instance that
 * received it from its caller. All are admitted if the configuration states a single
 * priority and a single workspace. Requests that must stay in regions are admitted, since
 * the demand for the endpoints there is not known.
 * </p>
 */
final class Admissions {

	/** Maximum age of a load that an endpoint reported. */
	private static final long MAX_LOAD_AGE_MILLIS = 1000;

	/** Cost of a request of a route that none has been answered of. */
	private static final double INITIAL_COST_MILLIS = 20;

	/** Weight of one answer in the learned cost. */
	private static final double ANSWER_WEIGHT = 0.05;

	private static final int MAX_ROUTES = 10_000;

	/** Part of the output that callers permit which answers have on average. */
	private static final double OUTPUT_PART = 0.5;

	private final AdmissionControl control;

	private final Map<String, Double> costs = new HashMap<>();

	private ForwardingConfiguration configuration;

	/** Whether the terms of the deployment ask for it. */
	private boolean enabled;

	/** Whether there are ranks or workspaces to divide room among. */
	private boolean several;

	Admissions(RandomGenerator random) {
		this.control = new AdmissionControl(Objects.requireNonNull(random, "random"));
	}

	void setTerms(GatewayTerms terms) {
		this.enabled = terms.scarceRoomDivided();
	}

	private boolean divides() {
		return this.enabled && this.several;
	}

	void setConfiguration(ForwardingConfiguration current) {
		this.configuration = current;
		Set<String> workspaces = new HashSet<>(current.workspacesByKey().values());
		Set<Integer> ranks = new HashSet<>(current.routes().priorities());
		current.workspaceTerms().values().forEach((terms) -> terms.priority().ifPresent(ranks::add));
		this.several = workspaces.size() > 1 || ranks.size() > 1;
		this.control.setWorkspaces(workspaces);
	}

	void setInstancePart(double part) {
		this.control.setInstancePart(part);
	}

	void apply(String peer, List<DemandFigure> figures, long nowMillis) {
		this.control.apply(peer, figures, nowMillis);
	}

	List<DemandFigure> pollPublished(long nowMillis) {
		return this.control.pollPublished(nowMillis);
	}

	void expire(long nowMillis) {
		this.control.expire(nowMillis);
	}

	long refused() {
		return this.control.refused();
	}

	/**
	 * Records how long an endpoint of a service without a cost model took, if it had a
	 * slot for the request.
	 * @param state the request
	 * @param millis the time
	 */
	void answered(ForwardState state, long millis) {
		if (state.isPrompt() || !state.sentToFreeSlot) {
			return;
		}
		if (this.costs.size() >= MAX_ROUTES) {
			this.costs.clear();
		}
		double known = this.costs.getOrDefault(state.route.name(), (double) millis);
		this.costs.put(state.route.name(), known + ANSWER_WEIGHT * (millis - known));
	}

	/**
	 * Decides on a request before it is sent for the first time.
	 * @param state the request
	 * @param placement where it would be sent
	 * @param endpoints the candidates
	 * @param nowMillis the current time
	 * @param effects receives a log line if it is refused
	 * @return whether it is refused; its state then has the time to return
	 */
	boolean refuses(ForwardState state, Placement placement, List<EndpointWork> endpoints, long nowMillis,
			List<GatewayEffect> effects) {
		if (!divides() || state.admissionDecided || state.request.relayTerms().isPresent()
				|| state.allowedRegions.isRestricted()) {
			return false;
		}
		state.admissionDecided = true;
		double ownMillis = (model(state).isPresent()) ? placement.partPrefillMillis() : costMillis(state);
		AdmissionRequest request = request(state, ownMillis,
				ownMillis + waitMillis(state, placement, endpoints, nowMillis), nowMillis);
		AdmissionDecision decision = this.control.decide(request, room(state, endpoints, nowMillis), nowMillis);
		if (!(decision instanceof AdmissionDecision.Refuse refuse)) {
			return false;
		}
		state.returnMillis = Optional.of(refuse.retryAfterMillis());
		effects.add(new GatewayEffect.Log("room-scarce",
				List.of("request", state.requestId, "service", state.service, "rank", request.rank(), "workspace",
						request.workspace(), "cost-millis", Math.round(request.costMillis()),
						"expected-first-token-millis", Math.round(request.expectedMillis()), "share",
						rounded(refuse.share()), "late-share", rounded(refuse.lateShare()), "demand",
						refuse.demandMillisPerSecond(), "capacity", refuse.capacityMillisPerSecond(), "instances",
						refuse.reporters(), "age-millis", refuse.figuresAgeMillis(), "retry-after",
						refuse.retryAfterMillis())));
		return true;
	}

	/**
	 * Returns when the caller of a request that is refused for another reason should
	 * return.
	 * @param state the request
	 * @param endpoints the candidates
	 * @param nowMillis the current time
	 * @return the time, empty if room is not scarce
	 */
	Optional<Long> returnMillis(ForwardState state, List<EndpointWork> endpoints, long nowMillis) {
		if (state.returnMillis.isPresent() || state.request.relayTerms().isPresent() || endpoints.isEmpty()) {
			return state.returnMillis;
		}
		return this.control.refusedElsewhere(request(state, 0, 0, nowMillis), room(state, endpoints, nowMillis),
				nowMillis);
	}

	private AdmissionRequest request(ForwardState state, double ownMillis, double expectedMillis, long nowMillis) {
		return new AdmissionRequest(state.service, state.route.name(), state.workspace.orElse(""), rank(state),
				costMillis(state), ownMillis, expectedMillis,
				state.arrivalMillis + state.route.firstByteTargetMillis() - nowMillis, state.timeLeftMillis(nowMillis),
				state.request.fingerprint());
	}

	private int rank(ForwardState state) {
		// The priority of the workspace takes precedence over that of the route.
		return this.configuration.terms(state.workspace).priority().orElse(state.route.priority());
	}

	private Optional<EngineCostModel> model(ForwardState state) {
		return this.configuration.service(state.service)
			.flatMap(ForwardedService::engine)
			.filter((model) -> state.isPrompt());
	}

	private double costMillis(ForwardState state) {
		return model(state)
			.map((model) -> model.partPrefillMillis(state.request.promptTokens(), 1)
					+ OUTPUT_PART * state.request.maxOutputTokens() * model.perSequenceMillis())
			.orElseGet(() -> this.costs.getOrDefault(state.route.name(), INITIAL_COST_MILLIS));
	}

	private double waitMillis(ForwardState state, Placement placement, List<EndpointWork> endpoints, long nowMillis) {
		if (model(state).isPresent()) {
			return Math.max(0, placement.expectedFirstTokenMillis() - placement.partPrefillMillis());
		}
		for (EndpointWork each : endpoints) {
			if (each.endpoint().id().equals(placement.endpoint().id())) {
				int slots = each.endpoint().slots();
				int waiting = Math.max(0, inUse(each, nowMillis) + 1 - slots);
				state.sentToFreeSlot = waiting == 0;
				return costMillis(state) * waiting / slots;
			}
		}
		return 0;
	}

	private ServiceRoom room(ForwardState state, List<EndpointWork> endpoints, long nowMillis) {
		boolean engines = model(state).isPresent();
		int slots = 0;
		int inUse = 0;
		int excess = 0;
		double backlogMillis = 0;
		for (EndpointWork each : endpoints) {
			int used = inUse(each, nowMillis);
			int own = each.endpoint().slots();
			slots += own;
			inUse += Math.min(own, used);
			excess += Math.max(0, used - own);
			backlogMillis += (engines) ? each.prefillBacklogMillis(nowMillis) : 0;
		}
		return new ServiceRoom((engines) ? endpoints.size() : slots,
				(engines) ? backlogMillis : excess * costMillis(state), inUse, slots, excess > 0);
	}

	private static int inUse(EndpointWork endpoint, long nowMillis) {
		// An endpoint also serves instances whose work is not known here.
		Optional<ObservedLoad> load = endpoint.health().load(nowMillis, MAX_LOAD_AGE_MILLIS);
		return Math.max(endpoint.slotsInUse(), load.map((each) -> each.running() + each.waiting()).orElse(0));
	}

	private static double rounded(double share) {
		return Math.round(share * 1000) / 1000.0;
	}

}
