package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.cost.LearnedCosts;
import io.mulberrylift.core.gossip.AvoidedEndpoint;
import io.mulberrylift.core.gossip.CostFigure;
import io.mulberrylift.core.gossip.CrashObservation;
import io.mulberrylift.core.gossip.DemandFigure;
import io.mulberrylift.core.gossip.EndpointLimit;
import io.mulberrylift.core.gossip.EvacuationKnowledge;
import io.mulberrylift.core.gossip.FleetFigures;
import io.mulberrylift.core.gossip.InstanceDigest;
import io.mulberrylift.core.gossip.RelayPeer;
import io.mulberrylift.core.limit.BackOffReport;
import io.mulberrylift.core.limit.EndpointBackOffs;
import io.mulberrylift.core.limit.FleetView;
import io.mulberrylift.core.limit.RequestLimitReport;
import io.mulberrylift.core.limit.RequestLimits;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.EndpointSummary;
import io.mulberrylift.core.placement.RequestWork;
import io.mulberrylift.core.placement.WorkTable;
import io.mulberrylift.core.zone.ZoneEvacuations;

/**
 * State machine of a forwarding instance: processes one event at a time and returns the
 * effects to carry out as data.
 *
 * <p>
 * Not thread-safe; owned by one event loop. It uses no clock, thread, socket or logger.
 * Invariants: the configuration's version never decreases; a request has at most one
 * attempt in progress; a request that must not run twice is not sent again once it may
 * have run; a status that promises "not run" is returned only if no attempt may have run.
 * </p>
 */
public final class Gateway {

	/**
	 * Time for which an endpoint is avoided that another endpoint reported as the cause
	 * of a refusal, in milliseconds.
	 */
	private static final long REPORTED_AVOIDANCE_MILLIS = 400;

	/** Value of a limit in log lines if there is none. */
	private static final double UNLIMITED_PER_SECOND = -1;

	/** Maximum number of learned quantities in a message. */
	private static final int MAX_COSTS = 8;

	/** Maximum number of learned quantities in a message in large fleets. */
	private static final int MAX_COSTS_PARTIAL = 3;

	private GatewayIdentity identity;

	private final RandomGenerator random;

	private final ZoneEvacuations zones = new ZoneEvacuations();

	private final EndpointTable endpoints = new EndpointTable(this.zones);

	private final WorkTable work = new WorkTable();

	private final CrashSuspects suspects;

	private final CrashEvidence crashEvidence;

	private final RequestLimits limits;

	private final EndpointBackOffs backOffs = new EndpointBackOffs();

	private final LearnedCosts costs = new LearnedCosts();

	private final Forwarder forwarder;

	private final EvacuationControl evacuations;

	private final ColdEndpoints cold;

	private List<GatewayEffect> effects = new ArrayList<>();

	private Optional<ForwardingConfiguration> configuration = Optional.empty();

	private long shutdownMillis = Long.MAX_VALUE;

	/** When all requests must have ended. */
	private long endMillis = Long.MAX_VALUE;

	private int liveInstances = 1;

	private boolean partialView;

	/**
	 * Creates the state of a newly started process.
	 * @param identity identity and limits of the instance, not null
	 * @param random source of randomness for ties and retry times, not null
	 */
	public Gateway(GatewayIdentity identity, RandomGenerator random) {
		this.identity = Objects.requireNonNull(identity, "identity");
		this.random = Objects.requireNonNull(random, "random");
		FleetView alone = FleetView.alone(identity.name(), identity.zone());
		this.suspects = new CrashSuspects(alone);
		this.crashEvidence = new CrashEvidence(this.suspects);
		this.limits = new RequestLimits(alone, random);
		this.forwarder = new Forwarder(identity, random, this.endpoints, this.work, this.crashEvidence, this.limits,
				this.backOffs, this.costs);
		this.evacuations = new EvacuationControl(this.zones, this.forwarder);
		this.cold = new ColdEndpoints(identity.terms(), this.endpoints, this.limits);
	}

	/**
	 * Processes one event.
	 * @param event the event, not null
	 * @param nowMillis monotonic time in milliseconds; must not decrease
	 * @return the effects to carry out, in order
	 */
	public List<GatewayEffect> reduce(GatewayEvent event, long nowMillis) {
		if (event instanceof GatewayEvent.RequestArrived arrived) {
			arrived(arrived, nowMillis);
		}
		else if (event instanceof GatewayEvent.AnswerChunk chunk) {
			this.forwarder.chunkReceived(chunk.attemptId(), nowMillis, this.effects);
		}
		else if (event instanceof GatewayEvent.AttemptEnded ended) {
			this.forwarder.attemptEnded(ended, nowMillis, this.effects);
		}
		else if (event instanceof GatewayEvent.CallerDisconnected disconnected) {
			this.forwarder.callerDisconnected(disconnected.requestId(), nowMillis, this.effects);
		}
		else if (event instanceof GatewayEvent.ReservationAnswered answered) {
			this.forwarder.reservationAnswered(answered, nowMillis, this.effects);
		}
		else if (event instanceof GatewayEvent.Tick) {
			tick(nowMillis);
		}
		else {
			applyUpdate(event, nowMillis);
		}
		return drainEffects();
	}

	private void applyUpdate(GatewayEvent event, long nowMillis) {
		if (event instanceof GatewayEvent.ConfigurationRead read) {
			configurationRead(read.configuration(), nowMillis);
		}
		else if (event instanceof GatewayEvent.EndpointsRead read) {
			endpointsRead(read.endpoints(), nowMillis);
		}
		else if (event instanceof GatewayEvent.EvacuationsRead read) {
			evacuationsRead(read.knowledge(), EvacuationControl.STORE, nowMillis);
		}
		else if (event instanceof GatewayEvent.DigestReceived received) {
			digestReceived(received.digest(), nowMillis);
		}
		else if (event instanceof GatewayEvent.CrashesReported reported) {
			reported.crashes()
				.forEach((each) -> this.crashEvidence.reported(each, reported.sender(), this.partialView, nowMillis,
						this.effects));
		}
		else if (event instanceof GatewayEvent.ReadingPaused reading) {
			this.forwarder.readingPaused(reading.attemptId(), reading.paused(), nowMillis);
		}
		else if (event instanceof GatewayEvent.LoadObserved observed) {
			this.work.health(observed.endpoint()).recordLoad(observed.load(), nowMillis);
			this.endpoints.find(observed.endpoint())
				.ifPresent((endpoint) -> this.costs.loadReported(endpoint, observed.load(), nowMillis));
		}
		else if (event instanceof GatewayEvent.ConnectionEstablished established) {
			this.endpoints.find(established.endpoint()).ifPresent((endpoint) -> {
				this.work.health(endpoint.id()).recordSign(nowMillis);
				this.forwarder.linkEvidence().connected(endpoint.service(), this.effects);
			});
		}
		else if (event instanceof GatewayEvent.NoticesReceived received) {
			noticesReceived(received, nowMillis);
		}
		else if (event instanceof GatewayEvent.EndpointFaultReported reported) {
			Optional<EndpointId> id = this.endpoints.findByName(reported.endpointName());
			log("endpoint-fault-reported", "name", reported.endpointName(), "known", id.isPresent());
			id.ifPresent((known) -> this.work.health(known).avoidOnReport(nowMillis + REPORTED_AVOIDANCE_MILLIS));
		}
		else if (event instanceof GatewayEvent.LimitsRead read) {
			this.identity = read.identity();
			this.forwarder.setIdentity(read.identity());
			this.cold.setTerms(read.identity().terms(), nowMillis);
			log("limits", "retry-ratio", read.identity().retryBounds().ratio(), "retry-extra",
					read.identity().retryBounds().extra(), "drain-grace", read.identity().drainGraceMillis(),
					"memory-free", read.identity().memoryFreeMillis());
		}
		else if (event instanceof GatewayEvent.ShutdownRequested requested) {
			this.shutdownMillis = Math.min(this.shutdownMillis, nowMillis);
			this.endMillis = Math.min(this.endMillis, nowMillis + requested.timeoutMillis());
			this.forwarder.requests().forEach((state) -> state.endBy(this.endMillis));
			log("shutdown-began", "requests", this.forwarder.inProgress());
		}
	}

	private void arrived(GatewayEvent.RequestArrived event, long nowMillis) {
		this.cold.trafficSeen();
		Optional<RefusalCause> refusal = Optional.empty();
		ForwardRequest request = event.request();
		if (this.configuration.isEmpty() || !this.endpoints.isKnown()) {
			refusal = Optional.of(RefusalCause.NOT_READY);
		}
		else if (request.relayTerms()
			.filter((terms) -> terms.configurationVersion() > configurationVersion())
			.isPresent()) {
			refusal = Optional.of(RefusalCause.NOT_READY);
		}
		else if (nowMillis - this.shutdownMillis > this.identity.drainGraceMillis()) {
			refusal = Optional.of(RefusalCause.SHUTTING_DOWN);
		}
		if (refusal.isPresent()) {
			refuse(event, refusal.get());
			return;
		}
		ForwardingConfiguration current = this.configuration.get();
		Optional<Route> route = current.routes().find(request.host(), request.path());
		if (route.isEmpty()) {
			refuse(event, RefusalCause.UNKNOWN_ROUTE);
			return;
		}
		Optional<String> workspace = request.key().map(current.workspacesByKey()::get);
		if (current.keysRequired() && !route.get().publicAccess() && workspace.isEmpty()) {
			refuse(event, RefusalCause.UNKNOWN_KEY);
			return;
		}
		String service = route.get().chooseService(this.random.nextDouble());
		ForwardState state = new ForwardState(event.requestId(), request, route.get(), service, workspace, nowMillis);
		state.allowedRegions = AllowedRegions.of(route.get(), current.terms(workspace));
		state.endBy(this.endMillis);
		this.forwarder.start(state, current, nowMillis, this.effects);
	}

	private void refuse(GatewayEvent.RequestArrived event, RefusalCause cause) {
		log("refused", "request", event.requestId(), "caller-attempt", event.request().attemptId(), "host",
				event.request().host(), "path", event.request().path(), "cause", cause, "configuration",
				configurationVersion());
		this.effects.add(new GatewayEffect.Refuse(event.requestId(), cause, RetryAfter.millis(cause, this.random)));
	}

	private void configurationRead(ForwardingConfiguration read, long nowMillis) {
		if (read.version() <= configurationVersion()) {
			return;
		}
		log("configuration", "version", read.version(), "before", configurationVersion(), "routes",
				read.routes().size(), "keys", read.workspacesByKey().size());
		this.configuration = Optional.of(read);
		this.forwarder.setConfiguration(read);
		this.cold.setConfiguration(read, nowMillis);
	}

	private void endpointsRead(List<ForwardEndpoint> listed, long nowMillis) {
		boolean first = !this.endpoints.isKnown();
		List<EndpointId> leaving = this.endpoints.replace(listed);
		this.endpoints.starts().record(listed, nowMillis).forEach((restart) -> endpointRestarted(restart, nowMillis));
		this.work.retainHealth(this.endpoints.ids());
		this.limits.retain(this.endpoints.ids());
		this.backOffs.retain(this.endpoints.ids());
		this.cold.endpointsRead(listed, first, nowMillis, this.effects);
		this.costs.endpointsListed(listed);
		leaving.forEach((id) -> endpointLeaving(id, "list"));
		if (first) {
			log("endpoints", "listed", listed.size());
		}
	}

	/**
	 * Forgets what is known of the process that an endpoint had before. What it says
	 * about requests that may have crashed it remains.
	 * @param restart the endpoint
	 * @param nowMillis the current time
	 */
	private void endpointRestarted(EndpointStarts.Restart restart, long nowMillis) {
		EndpointId id = restart.endpoint().id();
		this.endpoints.forgetLeaving(id);
		this.work.forget(id);
		this.limits.forget(id);
		this.backOffs.forget(id);
		this.effects.add(new GatewayEffect.DiscardConnections(id));
		int affected = this.forwarder.endpointRestarted(id, nowMillis, this.effects);
		log("endpoint-restarted", "endpoint", id, "started", restart.endpoint().startedEpochMillis(), "started-before",
				restart.earlierEpochMillis(), "requests", affected);
	}

	private void endpointLeaving(EndpointId endpoint, String source) {
		log("endpoint-leaving", "endpoint", endpoint, "source", source);
		this.effects.add(new GatewayEffect.DiscardConnections(endpoint));
	}

	private void noticesReceived(GatewayEvent.NoticesReceived event, long nowMillis) {
		this.endpoints.find(event.endpoint()).ifPresent((endpoint) -> {
			this.work.health(endpoint.id()).recordSign(nowMillis);
			this.forwarder.linkEvidence().answerReceived(endpoint.service(), nowMillis, this.effects);
		});
		if (this.forwarder.isOfProcessBefore(event.attemptId())) {
			return;
		}
		limitReported(event.endpoint(), event.attemptId(), event.notices().limit(), nowMillis);
		backOffReported(event.endpoint(), event.notices().backOff(), nowMillis);
		event.notices()
			.coldMillis()
			.ifPresent((left) -> this.cold.reported(event.endpoint(), left,
					this.forwarder.sentMillis(event.attemptId()), nowMillis, this.effects));
		if (event.notices().leaving() && this.endpoints.recordLeaving(event.endpoint(), nowMillis)) {
			endpointLeaving(event.endpoint(), "answer");
		}
	}

	private void limitReported(EndpointId endpoint, long attemptId, RequestLimitReport report, long nowMillis) {
		report.malformedValue()
			.filter((value) -> this.limits.recordMalformed(endpoint, value))
			.ifPresent((value) -> log("request-limit-malformed", "endpoint", endpoint, "value", value));
		Optional<Long> sentMillis = this.forwarder.sentMillis(attemptId);
		Optional<RequestLimits.LimitChange> change = this.limits.apply(endpoint, zone(endpoint), report, sentMillis,
				nowMillis);
		if (change.isPresent()) {
			logLimitChange(endpoint, change.get(), sentMillis.isPresent() ? "answer" : "control-call",
					sentMillis.map((sent) -> nowMillis - sent).orElse(0L));
			this.effects.add(new GatewayEffect.PublishState());
		}
	}

	private void backOffReported(EndpointId endpoint, BackOffReport report, long nowMillis) {
		report.malformedValue()
			.filter((value) -> this.backOffs.recordMalformed(endpoint, value))
			.ifPresent((value) -> log("back-off-malformed", "endpoint", endpoint, "value", value));
		report.durationMillis().ifPresent((millis) -> {
			long extendedByMillis = this.backOffs.extend(endpoint, millis, nowMillis);
			log("back-off-requested", "endpoint", endpoint, "millis", millis, "extended-by", extendedByMillis);
			if (extendedByMillis > 0) {
				this.forwarder.backOffExtended(endpoint, nowMillis, this.effects);
			}
		});
	}

	private String zone(EndpointId endpoint) {
		return this.endpoints.find(endpoint).map(ForwardEndpoint::zone).orElse("");
	}

	private void logLimitChange(EndpointId endpoint, RequestLimits.LimitChange change, String source, long ageMillis) {
		log("request-limit", "endpoint", endpoint, "per-second", change.after().orElse(UNLIMITED_PER_SECOND), "before",
				change.before().orElse(UNLIMITED_PER_SECOND), "source", source, "age-millis", ageMillis);
	}

	private void evacuationsRead(EvacuationKnowledge knowledge, String source, long nowMillis) {
		this.evacuations.apply(knowledge, source, this.identity.terms(), nowMillis, this.effects)
			.ended()
			.keySet()
			.forEach((zone) -> this.cold.zoneReturned(zone, nowMillis, this.effects));
	}

	private void digestReceived(InstanceDigest digest, long nowMillis) {
		Map<Long, RequestWork> shifted = new HashMap<>();
		this.forwarder.peerHeard(digest.sender(), nowMillis);
		this.work.applyPeerSummaries(digest.sender(), digest.summaries(), nowMillis);
		digest.work().forEach((request, each) -> shifted.put(request, each.shifted(nowMillis)));
		recordTold(this.work.newPrefills(digest.sender(), shifted), nowMillis);
		if (digest.fullState().isEmpty()) {
			this.work.applyPeerChanges(digest.sender(), shifted, digest.ended(), nowMillis);
			return;
		}
		this.work.replacePeerWork(digest.sender(), shifted, nowMillis);
		FleetFigures figures = digest.fullState().get().figures();
		this.forwarder.room().applyPeer(digest.sender(), figures.demand(), nowMillis);
		figures.evacuations().ifPresent((knowledge) -> evacuationsRead(knowledge, digest.sender(), nowMillis));
		figures.coldEndpoints()
			.forEach((each) -> this.cold.reportedByPeer(each, digest.sender(), nowMillis, this.effects));
		this.costs.applyFromPeer(figures.costs(), nowMillis);
		this.forwarder.admissions().apply(digest.sender(), figures.demand(), nowMillis);
		for (AvoidedEndpoint avoided : digest.fullState().get().avoided()) {
			this.endpoints.findByHash(avoided.endpointHash())
				.filter((id) -> !this.endpoints.starts()
					.mayConcernProcessBefore(id, EndpointStarts.PEER_DELAY_MILLIS, nowMillis))
				.ifPresent((id) -> this.work.health(id).avoidOnReport(nowMillis + avoided.leftMillis()));
		}
		for (EndpointLimit limit : digest.fullState().get().limits()) {
			this.endpoints.findByHash(limit.endpointHash())
				.filter((id) -> !this.endpoints.starts().mayConcernProcessBefore(id, limit.ageMillis(), nowMillis))
				.ifPresent((id) -> this.limits.applyFromPeer(id, zone(id), limit, nowMillis)
					.ifPresent((change) -> logLimitChange(id, change, digest.sender(), limit.ageMillis())));
		}
	}

	private void recordTold(List<RequestWork> work, long nowMillis) {
		for (RequestWork each : work) {
			this.endpoints.findByHash(each.endpointHash())
				.flatMap(this.endpoints::find)
				.ifPresent((endpoint) -> this.forwarder.room().recordTold(endpoint.service(), each, nowMillis));
		}
	}

	private void tick(long nowMillis) {
		this.work.expire(nowMillis);
		this.forwarder.room().expire(nowMillis);
		this.crashEvidence.tick(nowMillis);
		this.limits.expire(nowMillis);
		this.backOffs.expire(nowMillis);
		this.endpoints.expire(nowMillis);
		this.forwarder.tick(nowMillis, this.effects);
		this.evacuations.tick(nowMillis, this.effects);
		this.cold.expire(nowMillis);
	}

	/**
	 * Sets the number of live instances, for operators.
	 * @param instances the number, including this instance
	 */
	public void setLiveInstances(int instances) {
		this.liveInstances = instances;
		this.forwarder.room().setLiveInstances(instances);
	}

	/**
	 * Sets the instances that share the retry bounds and the limits which endpoints name.
	 * Until then, this instance shares them with nobody.
	 * @param fleet the instances
	 * @param nowMillis the current time
	 */
	public void setFleet(FleetView fleet, long nowMillis) {
		this.limits.setFleet(fleet, nowMillis);
		this.suspects.setFleet(fleet);
		this.forwarder.setRetryPart(fleet.equalPart());
	}

	/**
	 * Sets the peers that requests are handed to if this instance does not reach their
	 * endpoints.
	 * @param peers the peers
	 */
	public void setRelayPeers(List<RelayPeer> peers) {
		this.forwarder.setRelayPeers(peers);
	}

	/**
	 * Returns whether this instance reaches any endpoint, as far as it knows.
	 * @return false if several endpoints in a row did not answer
	 */
	public boolean reachesEndpoints() {
		return this.forwarder.reachesEndpoints();
	}

	/**
	 * Returns the work of this instance, to be published to its peers.
	 * @param nowMillis the current time
	 * @return work by request, with times relative to the current time
	 */
	public Map<Long, RequestWork> ownWork(long nowMillis) {
		Map<Long, RequestWork> shifted = new HashMap<>();
		this.work.ownWork().forEach((request, each) -> shifted.put(request, each.shifted(-nowMillis)));
		return shifted;
	}

	/**
	 * Returns summaries of the work of this instance, to be published to its peers in
	 * large fleets.
	 * @param nowMillis the current time
	 * @return summaries by endpoint key, only of endpoints with work
	 */
	public Map<Integer, EndpointSummary> ownSummaries(long nowMillis) {
		return this.work.ownSummaries(nowMillis);
	}

	/**
	 * Returns and clears the set of requests whose work has changed since the last call.
	 * @return the requests, including those that have ended
	 */
	public Set<Long> drainChangedWork() {
		return this.work.drainChanged();
	}

	/**
	 * Sets whether this instance tracks only the work of its own zone, as in large
	 * fleets.
	 * @param partial true if the work of other zones is unknown
	 */
	public void setPartialView(boolean partial) {
		this.partialView = partial;
		this.forwarder.setPartialView(partial);
	}

	/**
	 * Returns the endpoints that this instance avoids because of faults that it observed
	 * itself.
	 * @param nowMillis the current time
	 * @return the endpoints with the remaining times; none if this instance reaches no
	 * endpoint, since its link is the cause then
	 */
	public List<AvoidedEndpoint> avoidedEndpoints(long nowMillis) {
		return (reachesEndpoints()) ? this.work.locallyAvoided(nowMillis) : List.of();
	}

	/**
	 * Returns whether there are observations of requests that may have crashed endpoints
	 * which peers should learn promptly.
	 * @param nowMillis the current time
	 * @return true if there are
	 */
	public boolean hasPromptCrashes(long nowMillis) {
		return this.suspects.hasPromptObservations(nowMillis);
	}

	/**
	 * Returns the next observations of requests that may have crashed endpoints, to be
	 * published to peers.
	 * @param maxCount maximum number of observations
	 * @param nowMillis the current time
	 * @return the observations, those to be learned promptly first
	 */
	public List<CrashObservation> pollPublishedCrashes(int maxCount, long nowMillis) {
		return this.suspects.pollPublished(maxCount, nowMillis);
	}

	/**
	 * Returns the number of requests and parts of prompts that are refused because they
	 * crashed endpoints.
	 * @param nowMillis the current time
	 * @return the number
	 */
	public long isolatedAttributes(long nowMillis) {
		return this.suspects.isolatedCount(nowMillis);
	}

	/**
	 * Returns the version of the active configuration.
	 * @return the version, 0 if none has been read yet
	 */
	public long configurationVersion() {
		return this.configuration.map(ForwardingConfiguration::version).orElse(0L);
	}

	/**
	 * Returns the active configuration.
	 * @return the configuration, empty if none has been read yet
	 */
	public Optional<ForwardingConfiguration> configuration() {
		return this.configuration;
	}

	/**
	 * Returns whether the instance should receive new connections.
	 * @return true if it has a configuration and a list of endpoints and is not shutting
	 * down
	 */
	public boolean isReady() {
		return this.configuration.isPresent() && this.endpoints.isKnown() && this.shutdownMillis == Long.MAX_VALUE;
	}

	/**
	 * Returns whether a shutdown is in progress.
	 * @return true once a shutdown has been requested
	 */
	public boolean isShuttingDown() {
		return this.shutdownMillis != Long.MAX_VALUE;
	}

	/**
	 * Returns whether a shutdown is complete: the drain grace period has passed and no
	 * request is in progress.
	 * @param nowMillis the current time
	 * @return true if the process may exit
	 */
	public boolean mayExit(long nowMillis) {
		return isShuttingDown() && nowMillis - this.shutdownMillis > this.identity.drainGraceMillis()
				&& this.forwarder.inProgress() == 0;
	}

	/**
	 * Returns recent reports of the limits of endpoints, to be published to peers.
	 * @param maxCount maximum number of reports
	 * @param nowMillis the current time
	 * @return the reports, the least recently published first
	 */
	public List<EndpointLimit> pollPublishedLimits(int maxCount, long nowMillis) {
		return this.limits.pollPublished(maxCount, nowMillis);
	}

	/**
	 * Returns what this instance tells its peers beyond its own work.
	 * @param nowMillis the current time
	 * @return the figures, small enough for a full state
	 */
	public FleetFigures fleetFigures(long nowMillis) {
		List<CostFigure> learned = (this.identity.terms().learnedCosts())
				? this.costs.pollPublished((this.partialView) ? MAX_COSTS_PARTIAL : MAX_COSTS) : List.of();
		List<DemandFigure> demand = new ArrayList<>(this.forwarder.admissions().pollPublished(nowMillis));
		if (this.partialView) {
			demand.addAll(this.forwarder.room().figures(nowMillis));
		}
		return new FleetFigures(this.evacuations.published(), this.cold.published(nowMillis), demand, learned);
	}

	/**
	 * Returns the number of cold endpoints whose requests are limited.
	 * @return the number
	 */
	public int coldEndpoints() {
		return this.cold.count();
	}

	/**
	 * Returns the division of engines between short answers and long prompts, for
	 * operators.
	 * @return counts by name
	 */
	public Map<String, Long> engineRoom() {
		return this.forwarder.room().counts();
	}

	/**
	 * Returns whether instances of all zones are told of each long prompt.
	 * @return false if only those of the own zone are
	 */
	public boolean tellsAllZones() {
		return this.forwarder.room().tellsAllZones();
	}

	/**
	 * Returns the work of this instance that all peers are told at once, with times
	 * relative to the current time.
	 * @param nowMillis the current time
	 * @return work by request; empty while all work is published individually
	 */
	public Map<Long, RequestWork> individualWork(long nowMillis) {
		Map<Long, RequestWork> shifted = new HashMap<>();
		this.work.individualWork().forEach((request, each) -> shifted.put(request, each.shifted(-nowMillis)));
		return shifted;
	}

	/**
	 * Returns the evacuated availability zones, for operators.
	 * @return number of requests still in progress there by zone
	 */
	public Map<String, Integer> evacuatedZones() {
		return this.evacuations.requestsByZone();
	}

	/**
	 * Returns what requests cost, for operators.
	 * @return the learned costs
	 */
	public LearnedCosts costs() {
		return this.costs;
	}

	/**
	 * Returns the limits that endpoints name.
	 * @return requests per second by endpoint
	 */
	public Map<EndpointId, Double> requestLimits() {
		return this.limits.all();
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number
	 */
	public int inProgress() {
		return this.forwarder.inProgress();
	}

	/**
	 * Returns a summary of the state for operators.
	 * @param nowMillis the current time
	 * @return values by name
	 */
	public Map<String, Object> describe(long nowMillis) {
		Map<String, Object> state = new LinkedHashMap<>();
		state.put("ready", isReady());
		state.put("configuration", configurationVersion());
		state.put("requests", inProgress());
		state.put("reaches-endpoints", reachesEndpoints());
		state.put("relay-peers", this.forwarder.relayPeers());
		state.put("endpoints", this.endpoints.available());
		state.put("instances", this.liveInstances);
		state.put("avoided", avoidedEndpoints(nowMillis).toString());
		state.put("limits", this.limits.all().toString());
		state.put("back-offs", this.backOffs.all(nowMillis).toString());
		state.put("evacuated", evacuatedZones().toString());
		state.put("refused-for-scarce-room", this.forwarder.admissions().refused());
		state.put("suspects", this.suspects.suspectCount());
		state.put("isolated", isolatedAttributes(nowMillis));
		state.put("cost-estimates", this.costs.size());
		state.put("cost-median-error", this.costs.medianErrorFactor());
		state.put("loads", this.work.recentLoads(nowMillis).toString());
		return state;
	}

	private void log(String event, Object... fields) {
		this.effects.add(new GatewayEffect.Log(event, List.of(fields)));
	}

	private List<GatewayEffect> drainEffects() {
		if (this.effects.isEmpty()) {
			return List.of();
		}
		List<GatewayEffect> drained = this.effects;
		this.effects = new ArrayList<>();
		return drained;
	}

}
