package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.gossip.AvoidedEndpoint;
import io.mulberrylift.core.gossip.CrashObservation;
import io.mulberrylift.core.gossip.InstanceDigest;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.EndpointSummary;
import io.mulberrylift.core.placement.RequestWork;
import io.mulberrylift.core.placement.WorkTable;

/**
 * The one state machine of a forwarding instance: takes events one at a time and returns
 * effects as data.
 *
 * <p>
 * Not safe for use by several threads; one event loop owns it. It has no clock, thread,
 * socket or logger of its own. Invariants: the configuration's version never decreases; a
 * request is in at most one attempt at a time; a request that must not run twice is not
 * sent again once an attempt may have run; an answer with a status that promises "not
 * run" is given only when no attempt may have run.
 * </p>
 */
public final class Gateway {

	/**
	 * How long an endpoint is avoided that another one named as the cause of a refusal,
	 * in milliseconds.
	 */
	private static final long REPORTED_AVOIDANCE_MILLIS = 400;

	private GatewayIdentity identity;

	private final RandomGenerator random;

	private final EndpointTable endpoints = new EndpointTable();

	private final WorkTable work = new WorkTable();

	private final CrashSuspects suspects = new CrashSuspects();

	private final Forwarder forwarder;

	private List<GatewayEffect> effects = new ArrayList<>();

	private Optional<ForwardingConfiguration> configuration = Optional.empty();

	private long shutdownMillis = Long.MAX_VALUE;

	private int liveInstances = 1;

	/**
	 * Creates the state of a process that has just started.
	 * @param identity who it is, not null
	 * @param random breaks ties and spreads returns, not null
	 */
	public Gateway(GatewayIdentity identity, RandomGenerator random) {
		this.identity = Objects.requireNonNull(identity, "identity");
		this.random = Objects.requireNonNull(random, "random");
		this.forwarder = new Forwarder(identity, random, this.endpoints, this.work, this.suspects);
	}

	/**
	 * Takes one event.
	 * @param event the event, not null
	 * @param nowMillis monotonic time in milliseconds; must not decrease
	 * @return the effects to carry out, in order
	 */
	public List<GatewayEffect> reduce(GatewayEvent event, long nowMillis) {
		if (event instanceof GatewayEvent.RequestArrived arrived) {
			arrived(arrived, nowMillis);
		}
		else if (event instanceof GatewayEvent.AnswerChunk piece) {
			this.forwarder.chunkReceived(piece.attemptId(), nowMillis);
		}
		else if (event instanceof GatewayEvent.AttemptEnded ended) {
			this.forwarder.attemptEnded(ended, nowMillis, this.effects);
		}
		else if (event instanceof GatewayEvent.CallerDisconnected gone) {
			this.forwarder.callerDisconnected(gone.requestId(), nowMillis, this.effects);
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
			configurationRead(read.configuration());
		}
		else if (event instanceof GatewayEvent.EndpointsRead read) {
			endpointsRead(read.endpoints());
		}
		else if (event instanceof GatewayEvent.DigestReceived heard) {
			digestReceived(heard.digest(), nowMillis);
		}
		else if (event instanceof GatewayEvent.LoadObserved observed) {
			this.work.health(observed.endpoint()).recordLoad(observed.load(), nowMillis);
		}
		else if (event instanceof GatewayEvent.EndpointFaultReported named) {
			Optional<EndpointId> id = this.endpoints.findByName(named.endpointName());
			log("fault-named", "name", named.endpointName(), "known", id.isPresent());
			id.ifPresent((known) -> this.work.health(known).avoidOnReport(nowMillis + REPORTED_AVOIDANCE_MILLIS));
		}
		else if (event instanceof GatewayEvent.LimitsRead read) {
			this.identity = read.identity();
			this.forwarder.setIdentity(read.identity());
			log("limits", "retry-ratio", read.identity().retryBounds().ratio(), "retry-extra",
					read.identity().retryBounds().extra(), "drain-grace", read.identity().drainGraceMillis(),
					"memory-free", read.identity().memoryFreeMillis());
		}
		else if (event instanceof GatewayEvent.ShutdownRequested) {
			this.shutdownMillis = Math.min(this.shutdownMillis, nowMillis);
			log("shutdown-began", "requests", this.forwarder.inProgress());
		}
	}

	private void arrived(GatewayEvent.RequestArrived event, long nowMillis) {
		Optional<RefusalCause> refusal = Optional.empty();
		ForwardRequest request = event.request();
		if (this.configuration.isEmpty() || !this.endpoints.isKnown()) {
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
		this.forwarder.start(state, current, nowMillis, this.effects);
	}

	private void refuse(GatewayEvent.RequestArrived event, RefusalCause cause) {
		log("refused", "request", event.requestId(), "caller-attempt", event.request().attemptId(), "host",
				event.request().host(), "path", event.request().path(), "cause", cause, "configuration",
				configurationVersion());
		this.effects.add(new GatewayEffect.Refuse(event.requestId(), cause, RetryAfter.millis(cause, this.random)));
	}

	private void configurationRead(ForwardingConfiguration read) {
		if (read.version() <= configurationVersion()) {
			return;
		}
		log("configuration", "version", read.version(), "before", configurationVersion(), "routes",
				read.routes().size(), "keys", read.workspacesByKey().size());
		this.configuration = Optional.of(read);
		this.forwarder.setConfiguration(read);
	}

	private void endpointsRead(List<ForwardEndpoint> listed) {
		boolean first = !this.endpoints.isKnown();
		List<EndpointId> leaving = this.endpoints.replace(listed);
		this.work.retainHealth(this.endpoints.ids());
		leaving.forEach((id) -> {
			log("endpoint-leaving", "endpoint", id);
			this.effects.add(new GatewayEffect.DiscardConnections(id));
		});
		if (first) {
			log("endpoints", "listed", listed.size());
		}
	}

	private void digestReceived(InstanceDigest digest, long nowMillis) {
		Map<Long, RequestWork> shifted = new HashMap<>();
		this.work.applyPeerSummaries(digest.sender(), digest.summaries(), nowMillis);
		digest.work().forEach((request, each) -> shifted.put(request, each.shifted(nowMillis)));
		if (digest.fullState().isEmpty()) {
			this.work.applyPeerChanges(digest.sender(), shifted, digest.ended(), nowMillis);
			return;
		}
		this.work.replacePeerWork(digest.sender(), shifted, nowMillis);
		for (AvoidedEndpoint avoided : digest.fullState().get().avoided()) {
			this.endpoints.findByHash(avoided.endpointHash())
				.ifPresent((id) -> this.work.health(id).avoidOnReport(nowMillis + avoided.leftMillis()));
		}
		for (CrashObservation sighting : digest.fullState().get().crashes()) {
			this.suspects.record(sighting, nowMillis);
		}
	}

	private void tick(long nowMillis) {
		this.work.expire(nowMillis);
		this.suspects.tick(nowMillis);
		this.forwarder.tick(nowMillis, this.effects);
	}

	/**
	 * Sets how many instances share the bounds of repeats.
	 * @param instances the number, this one counted
	 */
	public void setLiveInstances(int instances) {
		this.liveInstances = instances;
		this.forwarder.setLiveInstances(instances);
	}

	/**
	 * Returns this instance's work for its peers.
	 * @param nowMillis the current time
	 * @return work by request, with times relative to now
	 */
	public Map<Long, RequestWork> ownWork(long nowMillis) {
		Map<Long, RequestWork> shifted = new HashMap<>();
		this.work.ownWork().forEach((request, each) -> shifted.put(request, each.shifted(-nowMillis)));
		return shifted;
	}

	/**
	 * Returns this instance's work in sum for its peers in large fleets.
	 * @param nowMillis the current time
	 * @return sums by key of the endpoint, of endpoints with work only
	 */
	public Map<Integer, EndpointSummary> ownSummaries(long nowMillis) {
		return this.work.ownSummaries(nowMillis);
	}

	/**
	 * Returns the requests whose work has changed since the last call.
	 * @return the requests, those that have ended included
	 */
	public Set<Long> drainChangedWork() {
		return this.work.drainChanged();
	}

	/**
	 * Sets whether this instance knows the work of its own zone only, as in large fleets.
	 * @param partial true if so
	 */
	public void setPartialView(boolean partial) {
		this.forwarder.setPartialView(partial);
	}

	/**
	 * Returns the endpoints that this instance avoids by what it has seen itself.
	 * @param nowMillis the current time
	 * @return the endpoints with the time left
	 */
	public List<AvoidedEndpoint> avoidedEndpoints(long nowMillis) {
		return this.work.locallyAvoided(nowMillis);
	}

	/**
	 * Returns recent losses of endpoints by requests.
	 * @param nowMillis the current time
	 * @return the losses, a bounded number
	 */
	public List<CrashObservation> recentCrashes(long nowMillis) {
		return this.suspects.recent(nowMillis);
	}

	/**
	 * Returns the version of the configuration in force.
	 * @return the version, 0 before the first one
	 */
	public long configurationVersion() {
		return this.configuration.map(ForwardingConfiguration::version).orElse(0L);
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, empty before the first one
	 */
	public Optional<ForwardingConfiguration> configuration() {
		return this.configuration;
	}

	/**
	 * Returns whether the instance should get new connections.
	 * @return true if it can serve and is not shutting down
	 */
	public boolean isReady() {
		return this.configuration.isPresent() && this.endpoints.isKnown() && this.shutdownMillis == Long.MAX_VALUE;
	}

	/**
	 * Returns whether a shutdown is under way.
	 * @return true if so
	 */
	public boolean isShuttingDown() {
		return this.shutdownMillis != Long.MAX_VALUE;
	}

	/**
	 * Returns whether a shutdown has come to its end: callers know that they must go
	 * elsewhere and nothing is in progress.
	 * @param nowMillis the current time
	 * @return true if the process may exit
	 */
	public boolean mayExit(long nowMillis) {
		return isShuttingDown() && nowMillis - this.shutdownMillis > this.identity.drainGraceMillis()
				&& this.forwarder.inProgress() == 0;
	}

	/**
	 * Returns the requests in progress.
	 * @return their number
	 */
	public int inProgress() {
		return this.forwarder.inProgress();
	}

	/**
	 * Returns the state for an operator.
	 * @param nowMillis the current time
	 * @return names and values
	 */
	public Map<String, Object> describe(long nowMillis) {
		return Map.of("ready", isReady(), "configuration", configurationVersion(), "requests", inProgress(),
				"endpoints", this.endpoints.available(), "instances", this.liveInstances, "avoided",
				avoidedEndpoints(nowMillis).toString(), "crashes", recentCrashes(nowMillis).size(), "loads",
				this.work.recentLoads(nowMillis).toString());
	}

	private void log(String event, Object... fields) {
		this.effects.add(new GatewayEffect.Log(event, List.of(fields)));
	}

	private List<GatewayEffect> drainEffects() {
		if (this.effects.isEmpty()) {
			return List.of();
		}
		List<GatewayEffect> taken = this.effects;
		this.effects = new ArrayList<>();
		return taken;
	}

}
