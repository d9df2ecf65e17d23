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
 * Counts the endpoints lost to each request and blocks a request before it can take down
 * a third.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Invariant: the endpoints known to be lost to a
 * request, those whose connection broke recently while they ran it and those that run it
 * for this instance are at most two in total. Any number of equal requests may run on one
 * endpoint. Sends through several instances are not blocked if they start before the
 * first notice has arrived.
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
		boolean addsNoEndpoint = losses == 0 && runningNow.contains(endpoint) && !brokenEndpoints.contains(endpoint);
		Set<EndpointId> exposed = new HashSet<>(brokenEndpoints);
		exposed.addAll(runningNow);
		return addsNoEndpoint || losses + exposed.size() < MAX_EXPOSED_ENDPOINTS;
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
		RequestAttempt attempt = this.running.remove(attemptId);
		if (attempt == null) {
			return;
		}
		removeRunning(attempt);
		if (!connectionLost) {
			return;
		}
		Long lostAtMillis = this.lostMonotonicMillis.get(attempt.process().endpoint());
		if (lostAtMillis != null && now.monotonicMillis() - lostAtMillis <= BrokenAttempts.RETENTION_MILLIS) {
			confirmLoss(attempt, true, now, effects);
			return;
		}
		this.brokenAttempts.add(attempt, true, now.monotonicMillis());
		this.gossip.broadcast(notice(attempt, false), now, effects);
	}

	private void removeRunning(RequestAttempt attempt) {
		this.runningEndpoints.computeIfPresent(attempt.fingerprint(), (key, endpoints) -> {
			endpoints.computeIfPresent(attempt.process().endpoint(), (id, count) -> (count > 1) ? count - 1 : null);
			return endpoints.isEmpty() ? null : endpoints;
		});
	}

	@Override
	public void endpointLost(EndpointId endpoint, Moment now, Effects effects) {
		Long previousLoss = this.lostMonotonicMillis.put(endpoint, now.monotonicMillis());
		if (previousLoss == null) {
			effects.count(Part.ISOLATION, "endpoint.lost");
		}
		this.brokenAttempts.remove(endpoint)
			.forEach((entry) -> confirmLoss(entry.attempt(), entry.local(), now, effects));
	}

	private void confirmLoss(RequestAttempt attempt, boolean local, Moment now, Effects effects) {
		boolean added = this.suspects.add(attempt.fingerprint(), attempt.process(), attempt.suspected(),
				now.monotonicMillis());
		if (!added || !local) {
			return;
		}
		effects.warn(Part.ISOLATION, "endpoint " + attempt.process().endpoint() + " was lost while running request "
				+ Long.toHexString(attempt.fingerprint()) + ", which is now " + classify(attempt.fingerprint()));
		effects.count(Part.ISOLATION, "suspected");
		this.gossip.broadcast(notice(attempt, true), now, effects);
	}

	private static SuspectNotice notice(RequestAttempt attempt, boolean confirmed) {
		return new SuspectNotice(attempt.fingerprint(), attempt.process().endpoint(), attempt.process().incarnation(),
				attempt.suspected(), confirmed);
	}

	/**
	 * Records a notice from another instance.
	 * @param notice the notice
	 * @param now the current time
	 * @param effects receives the effects
	 */
	public void received(SuspectNotice notice, Moment now, Effects effects) {
		EndpointProcess process = new EndpointProcess(notice.endpoint(), notice.endpointIncarnation());
		if (notice.confirmed()) {
			this.suspects.add(notice.fingerprint(), process, notice.alone(), now.monotonicMillis());
			effects.count(Part.ISOLATION, "notice");
		}
		else {
			this.brokenAttempts.add(new RequestAttempt(notice.fingerprint(), process, notice.alone()), false,
					now.monotonicMillis());
		}
	}

	/**
	 * Sends the newest known losses to an instance that joined.
	 * @param instance the instance
	 * @param effects receives the notices
	 */
	public void peerJoined(InstanceId instance, Effects effects) {
		this.suspects.newest(MAX_NOTICES_TO_NEW_PEER)
			.forEach((attempt) -> this.gossip.send(instance, notice(attempt, true), effects));
	}

	/**
	 * Resends notices that are due and removes expired records.
	 * @param now the current time
	 * @param effects receives the notices
	 */
	public void tick(Moment now, Effects effects) {
		if (now.monotonicMillis() < this.nextTickMonotonicMillis) {
			return;
		}
		this.nextTickMonotonicMillis = now.monotonicMillis() + TICK_MILLIS;
		this.brokenAttempts.removeExpired(now.monotonicMillis());
		this.lostMonotonicMillis.values()
			.removeIf((lostAtMillis) -> now.monotonicMillis() - lostAtMillis > BrokenAttempts.RETENTION_MILLIS);
		this.gossip.tick(now, effects);
	}

	/**
	 * Returns the state shown to operators.
	 * @return the numbers of running attempts and of suspected requests
	 */
	public Map<String, Object> describe() {
		Map<String, Object> state = new TreeMap<>();
		state.put("running", this.running.size());
		state.put("suspects", this.suspects.size());
		return state;
	}

}
