package io.mulberrylift.core.isolation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

import io.mulberrylift.core.effect.ControlEffect.Part;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.fleet.EndpointState;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.core.peer.SuspectNotice;
import io.mulberrylift.core.time.Moment;

/**
 * Counts the endpoints lost to each request and holds a request back before it can take a
 * third.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. Invariant: the endpoints
 * known to be lost to a request, those whose connection broke lately while they ran it
 * and those that run it for this instance are two at most. Equal requests may run on one
 * endpoint in any number. Sends through several instances that start before the first
 * notice has arrived are not held back.
 * </p>
 */
public final class CrashGuardPart implements CrashGuard {

	private static final int MAX_EXPOSED_ENDPOINTS = 2;

	private static final long TICK_MILLIS = 100;

	private static final int MAX_NOTICES_TO_NEW_PEER = 64;

	private final FleetState fleet;

	private final Map<Long, RequestAttempt> running = new HashMap<>();

	private final Map<Long, Map<EndpointId, Integer>> runningEndpoints = new HashMap<>();

	private final Map<EndpointId, Long> lostMonotonicMillis = new HashMap<>();

	private final BrokenAttempts brokenAttempts = new BrokenAttempts();

	private final SuspectedRequests suspects = new SuspectedRequests();

	private final SuspectGossip gossip;

	private long nextTickMonotonicMillis = Long.MIN_VALUE;

	/**
	 * Creates the part.
	 * @param fleet the shared state, not null
	 */
	public CrashGuardPart(FleetState fleet) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
		this.gossip = new SuspectGossip(fleet);
	}

	@Override
	public CrashClassification classify(long fingerprint) {
		if (this.suspects.isQuarantined(fingerprint)) {
			return CrashClassification.CONVICTED;
		}
		return (this.suspects.lossCount(fingerprint) > 0) ? CrashClassification.SUSPECTED : CrashClassification.CLEAR;
	}

	@Override
	public boolean mayStart(long fingerprint, EndpointId endpoint, Moment now) {
		Set<EndpointId> brokenEndpoints = this.brokenAttempts.endpoints(fingerprint);
		Set<EndpointId> runningNow = this.runningEndpoints.getOrDefault(fingerprint, Map.of()).keySet();
		int losses = this.suspects.lossCount(fingerprint);
		boolean addsNone = losses == 0 && runningNow.contains(endpoint) && !brokenEndpoints.contains(endpoint);
		Set<EndpointId> exposed = new HashSet<>(brokenEndpoints);
		exposed.addAll(runningNow);
		return addsNone || losses + exposed.size() < MAX_EXPOSED_ENDPOINTS;
	}

	@Override
	public void attemptStarted(long attemptId, long fingerprint, EndpointId endpoint) {
		long incarnation = this.fleet.endpoint(endpoint)
			.flatMap(EndpointState::lastReport)
			.map(LoadReport::incarnation)
			.orElse(0L);
		boolean suspected = classify(fingerprint) == CrashClassification.SUSPECTED;
		this.running.put(attemptId,
				new RequestAttempt(fingerprint, new EndpointProcess(endpoint, incarnation), suspected));
		this.runningEndpoints.computeIfAbsent(fingerprint, (key) -> new HashMap<>()).merge(endpoint, 1, Integer::sum);
	}

	@Override
	public void attemptEnded(long attemptId, boolean connectionLost, Moment now, Effects effects) {
		RequestAttempt run = this.running.remove(attemptId);
		if (run == null) {
			return;
		}
		removeRunning(run);
		if (!connectionLost) {
			return;
		}
		Long lost = this.lostMonotonicMillis.get(run.process().endpoint());
		if (lost != null && now.monotonicMillis() - lost <= BrokenAttempts.RETENTION_MILLIS) {
			confirmLoss(run, true, now, effects);
			return;
		}
		this.brokenAttempts.add(run, true, now.monotonicMillis());
		this.gossip.broadcast(notice(run, false), now, effects);
	}

	private void removeRunning(RequestAttempt run) {
		this.runningEndpoints.computeIfPresent(run.fingerprint(), (key, endpoints) -> {
			endpoints.computeIfPresent(run.process().endpoint(), (id, count) -> (count > 1) ? count - 1 : null);
			return endpoints.isEmpty() ? null : endpoints;
		});
	}

	@Override
	public void endpointLost(EndpointId endpoint, Moment now, Effects effects) {
		Long before = this.lostMonotonicMillis.put(endpoint, now.monotonicMillis());
		if (before == null) {
			effects.count(Part.ISOLATION, "endpoint.lost");
		}
		this.brokenAttempts.remove(endpoint)
			.forEach((entry) -> confirmLoss(entry.attempt(), entry.local(), now, effects));
	}

	private void confirmLoss(RequestAttempt run, boolean own, Moment now, Effects effects) {
		boolean added = this.suspects.add(run.fingerprint(), run.process(), run.suspected(), now.monotonicMillis());
		if (!added || !own) {
			return;
		}
		effects.warn(Part.ISOLATION, "endpoint " + run.process().endpoint() + " was lost while it ran request "
				+ Long.toHexString(run.fingerprint()) + ", now " + classify(run.fingerprint()));
		effects.count(Part.ISOLATION, "suspected");
		this.gossip.broadcast(notice(run, true), now, effects);
	}

	private static SuspectNotice notice(RequestAttempt run, boolean confirmed) {
		return new SuspectNotice(run.fingerprint(), run.process().endpoint(), run.process().incarnation(),
				run.suspected(), confirmed);
	}

	/**
	 * Takes another instance's notice.
	 * @param notice the notice
	 * @param now the current time
	 * @param effects takes the effects
	 */
	public void received(SuspectNotice notice, Moment now, Effects effects) {
		EndpointProcess loss = new EndpointProcess(notice.endpoint(), notice.endpointIncarnation());
		if (notice.confirmed()) {
			this.suspects.add(notice.fingerprint(), loss, notice.alone(), now.monotonicMillis());
			effects.count(Part.ISOLATION, "notice");
		}
		else {
			this.brokenAttempts.add(new RequestAttempt(notice.fingerprint(), loss, notice.alone()), false,
					now.monotonicMillis());
		}
	}

	/**
	 * Tells an instance that was not heard of before what is known.
	 * @param instance the instance
	 * @param effects takes the notices
	 */
	public void peerJoined(InstanceId instance, Effects effects) {
		this.suspects.newest(MAX_NOTICES_TO_NEW_PEER)
			.forEach((run) -> this.gossip.send(instance, notice(run, true), effects));
	}

	/**
	 * Repeats notices that are due and forgets what is old.
	 * @param now the current time
	 * @param effects takes the notices
	 */
	public void tick(Moment now, Effects effects) {
		if (now.monotonicMillis() < this.nextTickMonotonicMillis) {
			return;
		}
		this.nextTickMonotonicMillis = now.monotonicMillis() + TICK_MILLIS;
		this.brokenAttempts.removeExpired(now.monotonicMillis());
		this.lostMonotonicMillis.values()
			.removeIf((lost) -> now.monotonicMillis() - lost > BrokenAttempts.RETENTION_MILLIS);
		this.gossip.tick(now, effects);
	}

	/**
	 * Returns the state for an operator.
	 * @return numbers of runs and suspects
	 */
	public Map<String, Object> describe() {
		Map<String, Object> state = new TreeMap<>();
		state.put("running", this.running.size());
		state.put("suspects", this.suspects.size());
		return state;
	}

}
