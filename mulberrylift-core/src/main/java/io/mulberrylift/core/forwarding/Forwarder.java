package io.mulberrylift.core.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import io.mulberrylift.core.cost.ExpectedCompletionPlacement;
import io.mulberrylift.core.cost.LearnedCosts;
import io.mulberrylift.core.gossip.RelayPeer;
import io.mulberrylift.core.limit.EndpointBackOffs;
import io.mulberrylift.core.limit.RequestLimits;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.DemandKind;
import io.mulberrylift.core.placement.EndpointHealth;
import io.mulberrylift.core.placement.EndpointWork;
import io.mulberrylift.core.placement.EngineCostModel;
import io.mulberrylift.core.placement.EngineDivision;
import io.mulberrylift.core.placement.EngineRoom;
import io.mulberrylift.core.placement.LeastLoadedPlacement;
import io.mulberrylift.core.placement.ObservedFirstTokens;
import io.mulberrylift.core.placement.Placement;
import io.mulberrylift.core.placement.PromptDemand;
import io.mulberrylift.core.placement.PromptPlacement;
import io.mulberrylift.core.placement.WorkTable;

/**
 * Processes each admitted request from its arrival to its single final answer.
 *
 * <p>
 * Not thread-safe; owned by {@link Gateway}.
 * </p>
 */
final class Forwarder {

	/** Minimum remaining time for another attempt, in milliseconds. */
	private static final long MIN_RETRY_MILLIS = 60;

	/** Number of connection failures after which a request is handed to a peer. */
	private static final int MAX_CONNECT_FAILURES_BEFORE_RELAY = 2;

	/**
	 * Maximum number of connection failures after which a request of a peer is sent
	 * elsewhere; the peer itself can hand it to another instance.
	 */
	private static final int MAX_CONNECT_FAILURES_RELAYED = 1;

	/** Maximum number of connection failures after which a request is sent elsewhere. */
	private static final int MAX_CONNECT_FAILURES = 3;

	/**
	 * Share of the remaining time by which the first token must be expected for a request
	 * to be admitted.
	 */
	private static final double ADMISSION_SHARE = 0.8;

	/**
	 * Part of the fleet that an instance is in the largest fleets whose engines are
	 * divided. In larger ones, the number of instances heard lately is far too low.
	 */
	private static final double MIN_DIVIDED_PART = 1.0 / 40;

	private GatewayIdentity identity;

	private final RandomGenerator random;

	private final EndpointTable endpoints;

	private final EndpointCandidates candidates;

	private final WorkTable work;

	private final CrashEvidence crashEvidence;

	private final PromptPlacement promptPlacement;

	private final EngineRoom room = new EngineRoom();

	private final ObservedFirstTokens firstTokens = new ObservedFirstTokens();

	private final LeastLoadedPlacement leastLoadedPlacement;

	private final LearnedCosts costs;

	private final ExpectedCompletionPlacement completionPlacement;

	private final RequestLimits limits;

	private final MemoryReservations reservations;

	private final EndpointLinks links = new EndpointLinks();

	private final LinkEvidence linkEvidence;

	private final Relays relays;

	private final Admissions admissions;

	private final Map<Long, ForwardState> byRequestId = new HashMap<>();

	private final Map<Long, ForwardState> byAttemptId = new HashMap<>();

	private final Map<String, ServiceRetryBudget> retryBudgets = new HashMap<>();

	private ForwardingConfiguration configuration;

	/** Part of the fleet's extra retries that this instance may use. */
	private double retryPart = 1;

	private long nextAttemptId = 1;

	Forwarder(GatewayIdentity identity, RandomGenerator random, EndpointTable endpoints, WorkTable work,
			CrashEvidence crashEvidence, RequestLimits limits, EndpointBackOffs backOffs, LearnedCosts costs) {
		this.identity = identity;
		this.costs = costs;
		this.completionPlacement = new ExpectedCompletionPlacement(costs, random);
		this.random = random;
		this.endpoints = endpoints;
		this.candidates = new EndpointCandidates(endpoints, work, limits, backOffs);
		this.work = work;
		this.crashEvidence = crashEvidence;
		this.promptPlacement = new PromptPlacement(random);
		this.relays = new Relays(random);
		this.admissions = new Admissions(random);
		this.admissions.setTerms(identity.terms());
		this.linkEvidence = new LinkEvidence(this.links, endpoints);
		this.leastLoadedPlacement = new LeastLoadedPlacement(random);
		this.limits = limits;
		this.reservations = new MemoryReservations(identity.memoryFreeMillis(), limits, backOffs);
		setRegions(identity.terms());
	}

	private void setRegions(GatewayTerms terms) {
		this.candidates.setRegions(terms.regionsByZone());
		this.relays.setRegions(terms.regionsByZone());
	}

	Admissions admissions() {
		return this.admissions;
	}

	void setConfiguration(ForwardingConfiguration current) {
		this.configuration = current;
		this.admissions.setConfiguration(current);
	}

	void setIdentity(GatewayIdentity current) {
		this.identity = current;
		setRegions(current.terms());
		this.admissions.setTerms(current.terms());
		this.reservations.setFreeMillis(current.memoryFreeMillis());
		this.retryBudgets.values().forEach((budget) -> budget.setBounds(current.retryBounds()));
	}

	void setRetryPart(double part) {
		this.retryPart = part;
		this.admissions.setInstancePart(part);
	}

	void setRelayPeers(List<RelayPeer> peers) {
		this.relays.setPeers(peers);
	}

	int relayPeers() {
		return this.relays.peers();
	}

	void peerHeard(String address, long nowMillis) {
		this.relays.recordHeard(address, nowMillis);
	}

	/**
	 * Returns whether this instance reaches any endpoint, as far as it knows.
	 * @return false if several endpoints in a row did not answer
	 */
	boolean reachesEndpoints() {
		return !this.links.isCut();
	}

	LinkEvidence linkEvidence() {
		return this.linkEvidence;
	}

	void setPartialView(boolean partial) {
		this.promptPlacement.setOtherZonesUnknown(partial);
		this.room.setPartialView(partial);
	}

	EngineRoom room() {
		return this.room;
	}

	/**
	 * Returns when the request of an attempt in progress was sent.
	 * @param attemptId the attempt
	 * @return the time, empty if the attempt has ended
	 */
	Optional<Long> sentMillis(long attemptId) {
		return Optional.ofNullable(this.byAttemptId.get(attemptId)).map((state) -> state.sentMillis);
	}

	int inProgress() {
		return this.byRequestId.size();
	}

	Stream<ForwardState> requests() {
		return this.byRequestId.values().stream();
	}

	void start(ForwardState state, ForwardingConfiguration current, long nowMillis, List<GatewayEffect> effects) {
		this.configuration = current;
		this.byRequestId.put(state.requestId, state);
		if (state.request.relayTerms().isEmpty()) {
			retryBudget(state.service).recordRequest(nowMillis);
		}
		if (!this.crashEvidence.mayStart(state, nowMillis, effects)) {
			refuse(state, RefusalCause.ISOLATED, nowMillis, effects);
			return;
		}
		dispatch(state, nowMillis, effects);
	}

	private ServiceRetryBudget retryBudget(String service) {
		return this.retryBudgets.computeIfAbsent(service,
				(name) -> new ServiceRetryBudget(this.identity.retryBounds()));
	}

	private void dispatch(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		if (this.links.isCut(state.service) && this.candidates.hasAllowed(state)
				&& dispatchAroundCut(state, nowMillis, effects)) {
			return;
		}
		List<EndpointWork> available = this.candidates.find(state, nowMillis);
		if (available.isEmpty()) {
			giveUp(state, this.candidates.unavailabilityCause(state, nowMillis), nowMillis, effects);
			return;
		}
		Optional<EngineCostModel> model = this.configuration.service(state.service).flatMap(ForwardedService::engine);
		if (model.isEmpty() || !state.isPrompt()) {
			Placement least = placePlain(state, available, nowMillis);
			if (this.admissions.refuses(state, least, available, nowMillis, effects)) {
				giveUp(state, RefusalCause.OVERLOADED, nowMillis, effects);
			}
			else {
				send(state, least, nowMillis, effects);
			}
			return;
		}
		PromptDemand demand = demand(state, nowMillis);
		divide(state, demand, available, model.get(), nowMillis);
		Optional<Placement> placement = this.promptPlacement.place(demand, available, model.get(), this.identity.zone(),
				nowMillis);
		if (placement.isPresent()) {
			if (!refusedForCost(state, demand, placement.get(), available, nowMillis, effects)) {
				admit(state, placement.get(), nowMillis, effects);
			}
			return;
		}
		Optional<Placement> sharded = placementAcrossMemories(demand, available, model.get(), nowMillis);
		if (sharded.isEmpty()) {
			giveUp(state, RefusalCause.OVERLOADED, nowMillis, effects);
			return;
		}
		if (refusedForCost(state, demand, sharded.get(), available, nowMillis, effects)) {
			return;
		}
		state.placement = sharded.get();
		this.reservations.request(state, demand, nowMillis, effects);
		recordWork(state, demand, nowMillis);
	}

	private Placement placePlain(ForwardState state, List<EndpointWork> available, long nowMillis) {
		if (!this.identity.terms().learnedCosts()) {
			return this.leastLoadedPlacement.place(available, this.identity.zone()).orElseThrow();
		}
		ExpectedCompletionPlacement.Choice choice = this.completionPlacement
			.place(available, this.identity.zone(), state.costSubject(), nowMillis)
			.orElseThrow();
		state.estimate = Optional.of(choice.estimate());
		return choice.placement();
	}

	/**
	 * Hands a request to a peer or refuses it if the link to the service is cut.
	 * @param state the request
	 * @param nowMillis the current time
	 * @param effects receives the effects, now and then with a probe of the link
	 * @return false if the request is to be sent over the link
	 */
	private boolean dispatchAroundCut(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		List<ForwardEndpoint> endpoints = this.endpoints.available(state.service);
		if (!endpoints.isEmpty() && this.links.takeProbe(state.service, nowMillis)) {
			effects.add(new GatewayEffect.ProbeEndpoint(endpoints.get(this.random.nextInt(endpoints.size()))));
		}
		if (relay(state, nowMillis, effects)) {
			return true;
		}
		if (state.request.relayTerms().isPresent() || this.links.isUnconnected()) {
			giveUp(state, RefusalCause.NO_ENDPOINT, nowMillis, effects);
			return true;
		}
		return false;
	}

	private boolean relay(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		Optional<String> peer = this.relays.choose(state);
		if (peer.isEmpty()) {
			return false;
		}
		beginAttempt(state, nowMillis);
		state.relayPeer = peer;
		state.triedPeers.add(peer.get());
		state.stallDeadlineMillis = nowMillis + StallTimeouts.lastMillis(state.route);
		int attemptsLeft = Math.max(1, state.maxAttempts() - state.sends);
		log(effects, "relayed", "request", state.requestId, "caller-attempt", state.request.attemptId(), "route",
				state.route.name(), "attempt", state.attemptId, "peer", peer.get(), "peers-tried",
				state.triedPeers.size(), "sends", state.sends, "remaining-millis", state.timeLeftMillis(nowMillis));
		effects
			.add(new GatewayEffect.Relay(state.requestId, state.attemptId, peer.get(), state.timeLeftMillis(nowMillis),
					new RelayTerms(attemptsLeft, this.configuration.version()), state.route.kind()));
		return true;
	}

	private void beginAttempt(ForwardState state, long nowMillis) {
		state.attemptId = this.nextAttemptId++;
		state.attemptStarted = false;
		state.readingPaused = false;
		state.sentMillis = nowMillis;
		state.longestGapMillis = 0;
		state.lastChunkMillis = nowMillis;
		this.byAttemptId.put(state.attemptId, state);
	}

	/**
	 * Chooses engines that together have enough memory. Engines that name a limit are
	 * used only if there are not enough others, since reservations take several requests.
	 * @param demand demand of the prompt
	 * @param engines the engines that may be used
	 * @param model their cost model
	 * @param nowMillis the current time
	 * @return the placement, empty if there are not enough engines with free memory
	 */
	private Optional<Placement> placementAcrossMemories(PromptDemand demand, List<EndpointWork> engines,
			EngineCostModel model, long nowMillis) {
		List<EndpointWork> unlimited = this.candidates.withoutLimit(engines);
		Optional<Placement> placement = this.promptPlacement.placeAcrossMemories(demand, unlimited, model,
				this.identity.zone(), nowMillis);
		if (placement.isPresent() || unlimited.size() == engines.size()) {
			return placement;
		}
		return this.promptPlacement.placeAcrossMemories(demand, engines, model, this.identity.zone(), nowMillis);
	}

	private Optional<Placement> placement(ForwardState state, long nowMillis) {
		Optional<EngineCostModel> model = this.configuration.service(state.service).flatMap(ForwardedService::engine);
		if (model.isEmpty()) {
			return Optional.empty();
		}
		List<EndpointWork> available = this.candidates.find(state, nowMillis);
		PromptDemand demand = demand(state, nowMillis);
		divide(state, demand, available, model.get(), nowMillis);
		return this.promptPlacement.place(demand, available, model.get(), this.identity.zone(), nowMillis);
	}

	private void divide(ForwardState state, PromptDemand demand, List<EndpointWork> available, EngineCostModel model,
			long nowMillis) {
		if (!this.room.tellsAllZones() || this.retryPart < MIN_DIVIDED_PART) {
			// The views of a large fleet differ too much for a common boundary.
			state.division = Optional.empty();
			this.promptPlacement.setDivision(EngineDivision.NONE);
			this.promptPlacement.setFirstTokenFactor((parts) -> 1);
			return;
		}
		boolean first = state.division.isEmpty();
		EngineDivision division = this.room.division(state.service, this.endpoints.available(state.service), available,
				model, this.identity.zone(), nowMillis);
		state.division = Optional.of(division);
		this.promptPlacement.setDivision(division);
		this.firstTokens.setNow(nowMillis);
		this.promptPlacement.setFirstTokenFactor((parts) -> this.firstTokens.factor(state.service, parts));
		if (first && !available.isEmpty()) {
			this.room.recordArrival(state.service, demand, model, available.get(0).endpoint().slots(), nowMillis);
		}
	}

	private PromptDemand demand(ForwardState state, long nowMillis) {
		long firstTokenTimeLeft = state.arrivalMillis + state.route.firstByteTargetMillis() - nowMillis;
		return new PromptDemand(state.request.promptTokens(), state.request.maxOutputTokens(), firstTokenTimeLeft,
				state.timeLeftMillis(nowMillis), state.route.gapTargetMillis());
	}

	private boolean refusedForCost(ForwardState state, PromptDemand demand, Placement placement,
			List<EndpointWork> available, long nowMillis, List<GatewayEffect> effects) {
		if (this.admissions.refuses(state, placement, available, nowMillis, effects)) {
			giveUp(state, RefusalCause.OVERLOADED, nowMillis, effects);
			return true;
		}
		if (state.sends > 0 || this.promptPlacement.admits(demand, placement)) {
			return false;
		}
		log(effects, "too-costly", "request", state.requestId, "prompt", demand.promptTokens(), "cost",
				Math.round(placement.cost()), "weight", Math.round(demand.weight()));
		giveUp(state, RefusalCause.OVERLOADED, nowMillis, effects);
		return true;
	}

	private void admit(ForwardState state, Placement placement, long nowMillis, List<GatewayEffect> effects) {
		if (placement.expectedFirstTokenMillis() > ADMISSION_SHARE * state.timeLeftMillis(nowMillis)) {
			log(effects, "too-late", "request", state.requestId, "expected-first-token-millis",
					(long) placement.expectedFirstTokenMillis(), "remaining-millis", state.timeLeftMillis(nowMillis));
			giveUp(state, RefusalCause.OVERLOADED, nowMillis, effects);
			return;
		}
		send(state, placement, nowMillis, effects);
	}

	private void send(ForwardState state, Placement placement, long nowMillis, List<GatewayEffect> effects) {
		beginAttempt(state, nowMillis);
		state.placement = placement;
		state.sends++;
		state.stallDeadlineMillis = StallDetector.firstCheckMillis(StreamMoves.silence(state));
		state.triedEndpoints.add(placement.endpoint().id());
		recordWork(state, demand(state, nowMillis), nowMillis);
		state.estimate.ifPresent((estimate) -> this.costs.sent(state.requestId, placement.endpoint(),
				state.costSubject(), estimate, nowMillis));
		this.limits.recordRequest(placement.endpoint().id(), nowMillis);
		if (state.reservations.isEmpty()) {
			placement.helpers().forEach((helper) -> this.limits.recordRequest(helper.id(), nowMillis));
		}
		List<GatewayEffect.Helper> helpers = state.reservations.isEmpty()
				? placement.helpers().stream().map((each) -> new GatewayEffect.Helper(each, Optional.empty())).toList()
				: this.reservations.helpers(state);
		effects.add(SentLog.line(state, helpers.size(), room(state, nowMillis), nowMillis));
		effects.add(new GatewayEffect.Send(state.requestId, state.attemptId, placement.endpoint(), helpers,
				state.timeLeftMillis(nowMillis), SendRank.of(state.route.firstByteTargetMillis()).value(),
				state.route.kind(), state.workspace));
	}

	private void recordFirstToken(ForwardState state, long nowMillis) {
		if (state.relayPeer.isPresent() || state.division.isEmpty()) {
			return;
		}
		if (state.division.get().kind(state.route.gapTargetMillis()) == DemandKind.LONG_PROMPT) {
			this.firstTokens.setNow(nowMillis);
			this.firstTokens.record(state.service, state.placement.parts(), state.placement.expectedFirstTokenMillis(),
					nowMillis - state.sentMillis);
		}
	}

	private String room(ForwardState state, long nowMillis) {
		return state.division
			.map((division) -> this.room.recordPlacement(division, state.placement, state.route.gapTargetMillis(),
					nowMillis))
			.orElse("");
	}

	private void recordWork(ForwardState state, PromptDemand demand, long nowMillis) {
		this.work.put(state.requestId, RequestWorkFactory.create(state, demand, nowMillis));
		if (state.isPrompt() && state.division.isPresent()
				&& this.room.isPublishedIndividually(state.division.get(), demand)) {
			this.work.publishIndividually(state.requestId);
		}
	}

	void chunkReceived(long attemptId, long nowMillis, List<GatewayEffect> effects) {
		ForwardState state = this.byAttemptId.get(attemptId);
		if (state == null) {
			return;
		}
		chooseAttempt(state, attemptId, nowMillis, effects);
		if (!state.attemptStarted) {
			state.attemptStarted = true;
			state.answerStarted = true;
			state.firstChunkMillis = nowMillis;
			this.work.markDecoding(state.requestId);
			recordFirstToken(state, nowMillis);
		}
		else {
			state.longestGapMillis = Math.max(state.longestGapMillis, nowMillis - state.lastChunkMillis);
		}
		state.lastChunkMillis = nowMillis;
		if (state.relayPeer.isPresent()) {
			state.stallDeadlineMillis = nowMillis + StallTimeouts.lastMillis(state.route);
			return;
		}
		this.linkEvidence.answerReceived(state.service, nowMillis, effects);
		health(state).recordActivity(nowMillis);
		state.stallDeadlineMillis = StallDetector.firstCheckMillis(StreamMoves.silence(state));
	}

	/**
	 * Cancels the other attempt of a stream that two endpoints may continue.
	 * @param state the request
	 * @param attemptId the attempt that continues the stream
	 * @param nowMillis the current time
	 * @param effects receives the effects
	 */
	private void chooseAttempt(ForwardState state, long attemptId, long nowMillis, List<GatewayEffect> effects) {
		if (state.silentAttempt.isEmpty()) {
			return;
		}
		if (attemptId == state.attemptId) {
			cancelSilent(state, effects);
			return;
		}
		if (state.attemptId != 0) {
			effects.add(new GatewayEffect.CancelAttempt(state.attemptId));
			this.byAttemptId.remove(state.attemptId);
		}
		returnToSilent(state, nowMillis, effects);
	}

	private void returnToSilent(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		SilentAttempt silent = state.silentAttempt.orElseThrow();
		silent.restore(state);
		this.reservations.release(state, nowMillis, effects);
		this.work.remove(state.requestId);
		recordWork(state, demand(state, nowMillis), nowMillis);
		this.work.markDecoding(state.requestId);
		log(effects, "stream-returned", "request", state.requestId, "attempt", state.attemptId, "endpoint",
				state.placement.endpoint().id(), "idle-millis", nowMillis - state.lastChunkMillis);
	}

	private void cancelSilent(ForwardState state, List<GatewayEffect> effects) {
		state.silentAttempt.ifPresent((silent) -> {
			effects.add(new GatewayEffect.CancelAttempt(silent.attemptId()));
			this.byAttemptId.remove(silent.attemptId());
		});
		state.silentAttempt = Optional.empty();
	}

	/**
	 * Handles that a stream isn't read or is read again. A stream that isn't read is not
	 * silent, whatever its engine does.
	 * @param attemptId the attempt
	 * @param paused whether it isn't read from now on
	 * @param nowMillis the current time
	 */
	void readingPaused(long attemptId, boolean paused, long nowMillis) {
		ForwardState state = this.byAttemptId.get(attemptId);
		if (state == null || attemptId != state.attemptId || state.readingPaused == paused) {
			return;
		}
		state.readingPaused = paused;
		if (!paused) {
			state.lastChunkMillis = nowMillis;
			state.stallDeadlineMillis = (state.relayPeer.isPresent())
					? nowMillis + StallTimeouts.lastMillis(state.route)
					: StallDetector.firstCheckMillis(StreamMoves.silence(state));
		}
	}

	void attemptEnded(GatewayEvent.AttemptEnded event, long nowMillis, List<GatewayEffect> effects) {
		AttemptOutcome outcome = event.outcome();
		this.crashEvidence.abandonedAttemptEnded(event, nowMillis, effects);
		ForwardState state = this.byAttemptId.remove(event.attemptId());
		if (state == null) {
			return;
		}
		if (event.attemptId() != state.attemptId) {
			if (!outcome.isCompleted()) {
				state.silentAttempt = Optional.empty();
				return;
			}
			chooseAttempt(state, event.attemptId(), nowMillis, effects);
		}
		if (state.relayPeer.isPresent()) {
			relayEnded(state, event, nowMillis, effects);
			return;
		}
		state.division.ifPresent((division) -> this.room.recordGap(division.kind(state.route.gapTargetMillis()),
				state.longestGapMillis > state.route.gapTargetMillis()));
		effects.add(EndedLog.line(state, event, nowMillis));
		state.attemptId = 0;
		// Endpoints cut off streams that are not read.
		if (!state.readingPaused || outcome != AttemptOutcome.BROKEN_MIDWAY) {
			recordOutcome(state, outcome, nowMillis);
			this.costs.ended(state.requestId, nowMillis);
			if (!this.linkEvidence.attemptEnded(state, event, nowMillis, effects)) {
				this.crashEvidence.attemptEnded(state, event, nowMillis, effects);
			}
		}
		if (outcome.isCompleted()) {
			this.admissions.answered(state, nowMillis - state.sentMillis);
			finish(state, nowMillis, effects);
			effects.add(new GatewayEffect.Deliver(state.requestId));
			return;
		}
		state.mayHaveRun |= outcome.mayHaveRun();
		if (outcome == AttemptOutcome.NOT_CONNECTED) {
			state.connectFailures++;
			state.sends--;
		}
		this.work.remove(state.requestId);
		this.reservations.release(state, nowMillis, effects);
		boolean hasCandidates = !this.candidates.find(state, nowMillis).isEmpty();
		boolean connectsNowhere = state.connectFailures >= MAX_CONNECT_FAILURES_BEFORE_RELAY;
		boolean mayRelay = (connectsNowhere || this.links.isCut(state.service))
				&& this.relays.choose(state).isPresent();
		if ((hasCandidates || mayRelay) && mayRetry(state, outcome, nowMillis)) {
			if (!(mayRelay && (connectsNowhere || !hasCandidates) && relay(state, nowMillis, effects))) {
				dispatch(state, nowMillis, effects);
			}
		}
		else if (outcome == AttemptOutcome.ENDPOINT_ERROR && !state.answerStarted) {
			finish(state, nowMillis, effects);
			effects.add(new GatewayEffect.Deliver(state.requestId));
		}
		else {
			giveUp(state,
					(hasCandidates) ? RefusalCause.NOT_RUN : this.candidates.unavailabilityCause(state, nowMillis),
					nowMillis, effects);
		}
	}

	/**
	 * Handles the end of an attempt that a peer had. The peer has recorded what it says
	 * about the endpoint.
	 * @param state the request
	 * @param event end of the attempt
	 * @param nowMillis the current time
	 * @param effects receives the effects
	 */
	private void relayEnded(ForwardState state, GatewayEvent.AttemptEnded event, long nowMillis,
			List<GatewayEffect> effects) {
		AttemptOutcome outcome = event.outcome();
		effects.add(EndedLog.line(state, event, nowMillis));
		state.attemptId = 0;
		state.relayPeer = Optional.empty();
		if (outcome.isCompleted() || (outcome == AttemptOutcome.ENDPOINT_ERROR && !state.answerStarted)) {
			finish(state, nowMillis, effects);
			effects.add(new GatewayEffect.Deliver(state.requestId));
			return;
		}
		state.mayHaveRun |= outcome.mayHaveRun();
		boolean repeatable = !state.mayHaveRun || state.route.kind().isRepeatable();
		boolean mayRepeat = outcome != AttemptOutcome.REJECTED && repeatable
				&& state.timeLeftMillis(nowMillis) > MIN_RETRY_MILLIS && this.relays.choose(state).isPresent()
				&& (!outcome.mayHaveRun() || retryBudget(state.service).tryAcquire(this.retryPart, nowMillis));
		if (!mayRepeat || !relay(state, nowMillis, effects)) {
			giveUp(state, RefusalCause.NOT_RUN, nowMillis, effects);
		}
	}

	/**
	 * Returns the health of the endpoint of an attempt.
	 * @param state the request
	 * @return its health; one that nothing reads if its process has started again since
	 */
	private EndpointHealth health(ForwardState state) {
		ForwardEndpoint endpoint = state.placement.endpoint();
		return (this.endpoints.starts().hasRestarted(endpoint)) ? new EndpointHealth()
				: this.work.health(endpoint.id());
	}

	/**
	 * Handles the start of a new process under the identity of an endpoint. Attempts in
	 * progress there end by their connections.
	 * @param endpoint the endpoint
	 * @param nowMillis the current time
	 * @param effects receives the effects
	 * @return the number of requests that had something there
	 */
	int endpointRestarted(EndpointId endpoint, long nowMillis, List<GatewayEffect> effects) {
		this.links.forget(endpoint);
		int affected = 0;
		for (ForwardState state : List.copyOf(this.byRequestId.values())) {
			boolean reserved = this.reservations.forget(state, endpoint);
			boolean sent = state.attemptId != 0 && state.relayPeer.isEmpty()
					&& state.placement.endpoint().id().equals(endpoint);
			affected += (reserved || sent) ? 1 : 0;
			if (reserved && state.pendingReservations > 0) {
				reservationAnswered(new GatewayEvent.ReservationAnswered(state.requestId, endpoint, Optional.empty()),
						nowMillis, effects);
			}
		}
		return affected;
	}

	/**
	 * Returns whether an answer is one of a process that is gone.
	 * @param attemptId the attempt
	 * @return true if its endpoint has started again since it was sent
	 */
	boolean isOfProcessBefore(long attemptId) {
		ForwardState state = this.byAttemptId.get(attemptId);
		return state != null && state.relayPeer.isEmpty()
				&& this.endpoints.starts().hasRestarted(state.placement.endpoint());
	}

	private void recordOutcome(ForwardState state, AttemptOutcome outcome, long nowMillis) {
		EndpointHealth health = health(state);
		if (outcome.isCompleted()) {
			health.recordSuccess();
			if (!state.readingPaused) {
				this.costs.completed(state.requestId, nowMillis);
			}
		}
		else if (outcome == AttemptOutcome.NOT_CONNECTED || outcome == AttemptOutcome.MISDIRECTED
				|| outcome == AttemptOutcome.SILENT || outcome == AttemptOutcome.BROKEN
				|| outcome == AttemptOutcome.OVERSIZED) {
			health.recordFault(nowMillis);
		}
		else if (outcome.isEndpointFault()) {
			health.recordFailure();
		}
	}

	private boolean mayRetry(ForwardState state, AttemptOutcome outcome, long nowMillis) {
		boolean repeatable = !state.mayHaveRun || state.route.kind().isRepeatable();
		boolean hasTimeLeft = state.timeLeftMillis(nowMillis) > MIN_RETRY_MILLIS;
		if (outcome == AttemptOutcome.REJECTED || !repeatable || !hasTimeLeft
				|| this.crashEvidence.isSuspected(state, nowMillis)) {
			return false;
		}
		if (outcome == AttemptOutcome.NOT_CONNECTED) {
			boolean relayed = state.request.relayTerms().isPresent();
			return state.connectFailures <= ((relayed) ? MAX_CONNECT_FAILURES_RELAYED : MAX_CONNECT_FAILURES);
		}
		return state.sends < state.maxAttempts() && retryBudget(state.service).tryAcquire(this.retryPart, nowMillis);
	}

	void callerDisconnected(long requestId, long nowMillis, List<GatewayEffect> effects) {
		ForwardState state = this.byRequestId.get(requestId);
		if (state == null) {
			return;
		}
		log(effects, "caller-disconnected", "request", requestId, "millis", nowMillis - state.arrivalMillis,
				"answer-started", state.answerStarted);
		if (state.attemptId != 0 && state.route.kind() == RequestKind.NON_IDEMPOTENT) {
			// A peer records itself what the end of its attempt says about the endpoint.
			if (state.relayPeer.isEmpty()) {
				this.crashEvidence.attemptAbandoned(state);
			}
		}
		else if (state.attemptId != 0) {
			effects.add(new GatewayEffect.CancelAttempt(state.attemptId));
		}
		finish(state, nowMillis, effects);
	}

	void reservationAnswered(GatewayEvent.ReservationAnswered event, long nowMillis, List<GatewayEffect> effects) {
		ForwardState state = this.byRequestId.get(event.requestId());
		if (state == null || state.pendingReservations == 0) {
			return;
		}
		MemoryReservations.Progress progress = this.reservations.recordAnswer(state, event.granted());
		boolean evacuated = EvacuationControl.mustLeave(state, this.endpoints);
		if (progress == MemoryReservations.Progress.GRANTED && !evacuated) {
			admit(state, state.placement, nowMillis, effects);
		}
		else if (progress == MemoryReservations.Progress.REFUSED || evacuated) {
			log(effects, "memory-refused", "request", state.requestId, "endpoint", event.endpoint(), "answered",
					event.granted().isPresent(), "evacuated", evacuated, "engines", state.placement.parts(),
					"tokens-per-engine", state.reservedTokensPerEngine, "millis",
					nowMillis - state.reservationSentMillis);
			this.work.remove(state.requestId);
			this.reservations.release(state, nowMillis, effects);
			giveUp(state, (evacuated) ? RefusalCause.NOT_RUN : RefusalCause.OVERLOADED, nowMillis, effects);
		}
	}

	void tick(long nowMillis, List<GatewayEffect> effects) {
		this.admissions.expire(nowMillis);
		for (ForwardState state : List.copyOf(this.byRequestId.values())) {
			if (nowMillis >= state.deadlineMillis) {
				expire(state, nowMillis, effects);
			}
			else if (state.attemptId != 0 && !state.readingPaused && nowMillis >= state.stallDeadlineMillis) {
				handleSilence(state, nowMillis, effects);
			}
			else if (this.reservations.isOverdue(state, nowMillis)) {
				reservationAnswered(new GatewayEvent.ReservationAnswered(state.requestId,
						state.placement.endpoint().id(), Optional.empty()), nowMillis, effects);
			}
			else {
				this.reservations.renew(state, nowMillis, effects);
			}
		}
	}

	private void expire(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		this.costs.expired(state.requestId, nowMillis);
		log(effects, "expired", "request", state.requestId, "attempt", state.attemptId, "millis",
				nowMillis - state.arrivalMillis, "answer-started", state.answerStarted);
		if (state.attemptId != 0) {
			state.mayHaveRun = true;
			if (state.relayPeer.isEmpty() && !state.readingPaused) {
				health(state).recordFailure();
				if (!state.attemptStarted) {
					this.linkEvidence.endpointSilent(state, true, nowMillis, effects);
				}
			}
			effects.add(new GatewayEffect.CancelAttempt(state.attemptId));
		}
		giveUp(state, (state.mayHaveRun) ? RefusalCause.EXPIRED : RefusalCause.EXPIRED_NOT_RUN, nowMillis, effects);
	}

	/**
	 * Judges a silent stream, and moves it to another endpoint if it is stalled. A stream
	 * that cannot be moved continues to wait, because a stall alone must not end an
	 * answer.
	 * @param state the request
	 * @param nowMillis the current time
	 * @param effects receives the effects
	 */
	private void handleSilence(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		if (state.relayPeer.isPresent()) {
			handleRelaySilence(state, nowMillis, effects);
			return;
		}
		EndpointHealth health = health(state);
		StallDetector.EngineSigns signs = engineSigns(state, health);
		StallDetector.Judgement judgement = StallDetector.judge(StreamMoves.silence(state), signs, nowMillis);
		state.stallDeadlineMillis = judgement.recheckMillis();
		switch (judgement.verdict()) {
			case SOUND -> {
			}
			case UNKNOWN -> {
				health.recordProbe(nowMillis);
				log(effects, "silence-probed", "request", state.requestId, "endpoint", state.placement.endpoint().id(),
						"idle-millis", nowMillis - state.lastChunkMillis, "output-age-millis",
						nowMillis - Math.max(state.sentMillis, signs.outputMillis()), "reading-millis",
						signs.readingMillis());
				effects.add(new GatewayEffect.ProbeEndpoint(state.placement.endpoint()));
			}
			case DEAD, STOPPED -> moveStalled(state, judgement.verdict(), signs, nowMillis, effects);
		}
	}

	private void moveStalled(ForwardState state, StallDetector.Verdict verdict, StallDetector.EngineSigns signs,
			long nowMillis, List<GatewayEffect> effects) {
		boolean dead = verdict == StallDetector.Verdict.DEAD;
		EndpointHealth health = health(state);
		if (dead) {
			this.linkEvidence.endpointSilent(state, true, nowMillis, effects);
		}
		boolean movable = StreamMoves.isMovable(state);
		Optional<Placement> placement = (movable) ? placement(state, nowMillis) : Optional.empty();
		boolean aroundCut = movable && this.links.isCut(state.service) && this.relays.choose(state).isPresent();
		if (!dead && placement.isPresent() && StreamMoves.isTooLate(state, placement.get(), nowMillis)) {
			return;
		}
		if ((placement.isEmpty() && !aroundCut) || !mayRetry(state, AttemptOutcome.SILENT, nowMillis)) {
			state.stallDeadlineMillis = Long.MAX_VALUE;
			health.recordFailure();
			return;
		}
		log(effects, "stream-stalled", "request", state.requestId, "attempt", state.attemptId, "endpoint",
				state.placement.endpoint().id(), "verdict", verdict, "idle-millis", nowMillis - state.lastChunkMillis,
				"begun", state.attemptStarted, "output-age-millis",
				nowMillis - Math.max(state.sentMillis, signs.outputMillis()), "reading-millis", signs.readingMillis());
		if (state.attemptStarted && !aroundCut) {
			state.silentAttempt = Optional.of(SilentAttempt.of(state));
		}
		else {
			effects.add(new GatewayEffect.CancelAttempt(state.attemptId));
			this.byAttemptId.remove(state.attemptId);
		}
		if (dead) {
			health.recordFault(nowMillis);
		}
		else {
			health.recordFailure();
		}
		state.mayHaveRun = true;
		this.work.remove(state.requestId);
		if (!aroundCut || !relay(state, nowMillis, effects)) {
			send(state, placement.orElseThrow(), nowMillis, effects);
		}
	}

	private StallDetector.EngineSigns engineSigns(ForwardState state, EndpointHealth health) {
		Optional<EngineCostModel> model = this.configuration.service(state.service).flatMap(ForwardedService::engine);
		EndpointWork endpoint = this.work.view(List.of(state.placement.endpoint())).get(0);
		return new StallDetector.EngineSigns(health.lastActivityMillis(), health.lastSignMillis(),
				health.lastProbeMillis(), model.map((engine) -> (long) endpoint.maxIterationMillis(engine)).orElse(0L),
				model.map((engine) -> (long) endpoint.maxReadingMillis(engine, state.attemptStarted)).orElse(0L));
	}

	/**
	 * Hands a request whose peer does not answer and is not heard of to another peer. One
	 * that must not be repeated continues to wait.
	 * @param state the request
	 * @param nowMillis the current time
	 * @param effects receives the effects
	 */
	private void handleRelaySilence(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		state.stallDeadlineMillis = Long.MAX_VALUE;
		if (!state.route.kind().isRepeatable() || this.relays.choose(state).isEmpty()) {
			return;
		}
		long silentMillis = StallDetector.peerSilentMillis(state.lastChunkMillis, StallTimeouts.lastMillis(state.route),
				this.relays.heardMillis(state.relayPeer.get()));
		if (nowMillis < silentMillis) {
			state.stallDeadlineMillis = silentMillis;
			return;
		}
		long attempt = state.attemptId;
		effects.add(new GatewayEffect.CancelAttempt(attempt));
		this.byAttemptId.remove(attempt);
		relayEnded(state, new GatewayEvent.AttemptEnded(attempt, AttemptOutcome.SILENT, 0), nowMillis, effects);
	}

	private void giveUp(ForwardState state, RefusalCause cause, long nowMillis, List<GatewayEffect> effects) {
		if (state.silentAttempt.isPresent() && nowMillis < state.deadlineMillis) {
			returnToSilent(state, nowMillis, effects);
			return;
		}
		if (state.answerStarted) {
			log(effects, "answer-aborted", "request", state.requestId, "cause", cause);
			finish(state, nowMillis, effects);
			effects.add(new GatewayEffect.AbortAnswer(state.requestId));
			return;
		}
		boolean promisesNotRun = cause.isRetryable();
		refuse(state, (state.mayHaveRun && promisesNotRun) ? RefusalCause.FAILED : cause, nowMillis, effects);
	}

	private void refuse(ForwardState state, RefusalCause cause, long nowMillis, List<GatewayEffect> effects) {
		finish(state, nowMillis, effects);
		Optional<Long> retryAfterMillis = retryAfterMillis(state, cause, nowMillis);
		log(effects, "refused", "request", state.requestId, "caller-attempt", state.request.attemptId(), "route",
				state.route.name(), "fingerprint", Long.toHexString(state.request.fingerprint()), "prompt-parts",
				SentLog.promptParts(state), "cause", cause, "sends", state.sends, "retry-after",
				retryAfterMillis.orElse(-1L), "configuration", this.configuration.version());
		effects.add(new GatewayEffect.Refuse(state.requestId, cause, retryAfterMillis));
	}

	private Optional<Long> retryAfterMillis(ForwardState state, RefusalCause cause, long nowMillis) {
		if (cause == RefusalCause.OVERLOADED || cause == RefusalCause.NOT_RUN) {
			Optional<Long> returnMillis = this.admissions.returnMillis(state, this.candidates.find(state, nowMillis),
					nowMillis);
			if (returnMillis.isPresent()) {
				return returnMillis;
			}
		}
		long acceptedInMillis = this.candidates.acceptedInMillis(state, nowMillis);
		boolean untilAccepted = switch (cause) {
			case ENDPOINTS_LIMITED, ENDPOINTS_BACKING_OFF -> true;
			case NOT_RUN, OVERLOADED, EXPIRED_NOT_RUN -> acceptedInMillis > 0;
			default -> false;
		};
		return (untilAccepted) ? Optional.of(RetryAfter.untilAccepted(cause, acceptedInMillis, this.random))
				: RetryAfter.millis(cause, this.random);
	}

	/**
	 * Handles the start or extension of a back-off.
	 * @param endpoint the endpoint that wants no requests
	 * @param nowMillis the current time
	 * @param effects receives the effects
	 */
	void backOffExtended(EndpointId endpoint, long nowMillis, List<GatewayEffect> effects) {
		this.byRequestId.values()
			.forEach((state) -> this.reservations.renewBeforeBackOff(state, endpoint, nowMillis, effects));
	}

	private void finish(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		this.byRequestId.remove(state.requestId);
		cancelSilent(state, effects);
		if (state.attemptId != 0) {
			this.byAttemptId.remove(state.attemptId);
		}
		this.work.remove(state.requestId);
		this.costs.ended(state.requestId, nowMillis);
		this.reservations.release(state, nowMillis, effects);
	}

	private static void log(List<GatewayEffect> effects, String event, Object... fields) {
		effects.add(new GatewayEffect.Log(event, List.of(fields)));
	}

}
