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

	private static final int MAX_NOTICES_TO_NEWCOMER = 64;

	private final FleetState fleet;

	private final Map<Long, Run> running = new HashMap<>();

	private final Map<Long, Map<EndpointId, Integer>> runningEndpoints = new HashMap<>();

	private final Map<EndpointId, Long> lostMonotonicMillis = new HashMap<>();

	private final BrokenRuns broken = new BrokenRuns();

	private final Suspicions suspicions = new Suspicions();

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
	public CrashVerdict verdict(long fingerprint) {
		if (this.suspicions.isConvicted(fingerprint)) {
			return CrashVerdict.CONVICTED;
		}
		return (this.suspicions.losses(fingerprint) > 0) ? CrashVerdict.SUSPECTED : CrashVerdict.CLEAR;
	}

	@Override
	public boolean mayStart(long fingerprint, EndpointId endpoint, Moment now) {
		Set<EndpointId> brokenEndpoints = this.broken.endpoints(fingerprint);
		Set<EndpointId> runningNow = this.runningEndpoints.getOrDefault(fingerprint, Map.of()).keySet();
		int losses = this.suspicions.losses(fingerprint);
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
		boolean suspected = verdict(fingerprint) == CrashVerdict.SUSPECTED;
		this.running.put(attemptId, new Run(fingerprint, new Loss(endpoint, incarnation), suspected));
		this.runningEndpoints.computeIfAbsent(fingerprint, (key) -> new HashMap<>()).merge(endpoint, 1, Integer::sum);
	}

	@Override
	public void attemptEnded(long attemptId, boolean connectionLost, Moment now, Effects effects) {
		Run run = this.running.remove(attemptId);
		if (run == null) {
			return;
		}
		leave(run);
		if (!connectionLost) {
			return;
		}
		Long lost = this.lostMonotonicMillis.get(run.at().endpoint());
		if (lost != null && now.monotonicMillis() - lost <= BrokenRuns.MEMORY_MILLIS) {
			confirm(run, true, now, effects);
			return;
		}
		this.broken.add(run, true, now.monotonicMillis());
		this.gossip.spread(notice(run, false), now, effects);
	}

	private void leave(Run run) {
		this.runningEndpoints.computeIfPresent(run.fingerprint(), (key, endpoints) -> {
			endpoints.computeIfPresent(run.at().endpoint(), (id, count) -> (count > 1) ? count - 1 : null);
			return endpoints.isEmpty() ? null : endpoints;
		});
	}

	@Override
	public void endpointLost(EndpointId endpoint, Moment now, Effects effects) {
		Long before = this.lostMonotonicMillis.put(endpoint, now.monotonicMillis());
		if (before == null) {
			effects.count(Part.ISOLATION, "endpoint.lost");
		}
		this.broken.take(endpoint).forEach((entry) -> confirm(entry.run(), entry.own(), now, effects));
	}

	private void confirm(Run run, boolean own, Moment now, Effects effects) {
		boolean added = this.suspicions.add(run.fingerprint(), run.at(), run.suspected(), now.monotonicMillis());
		if (!added || !own) {
			return;
		}
		effects.warn(Part.ISOLATION, "endpoint " + run.at().endpoint() + " was lost while it ran request "
				+ Long.toHexString(run.fingerprint()) + ", now " + verdict(run.fingerprint()));
		effects.count(Part.ISOLATION, "suspected");
		this.gossip.spread(notice(run, true), now, effects);
	}

	private static SuspectNotice notice(Run run, boolean confirmed) {
		return new SuspectNotice(run.fingerprint(), run.at().endpoint(), run.at().incarnation(), run.suspected(),
				confirmed);
	}

	/**
	 * Takes another instance's notice.
	 * @param notice the notice
	 * @param now the current time
	 * @param effects takes the effects
	 */
	public void received(SuspectNotice notice, Moment now, Effects effects) {
		Loss loss = new Loss(notice.endpoint(), notice.endpointIncarnation());
		if (notice.confirmed()) {
			this.suspicions.add(notice.fingerprint(), loss, notice.alone(), now.monotonicMillis());
			effects.count(Part.ISOLATION, "notice");
		}
		else {
			this.broken.add(new Run(notice.fingerprint(), loss, notice.alone()), false, now.monotonicMillis());
		}
	}

	/**
	 * Tells an instance that was not heard of before what is known.
	 * @param instance the instance
	 * @param effects takes the notices
	 */
	public void peerJoined(InstanceId instance, Effects effects) {
		this.suspicions.newest(MAX_NOTICES_TO_NEWCOMER)
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
		this.broken.forget(now.monotonicMillis());
		this.lostMonotonicMillis.values().removeIf((lost) -> now.monotonicMillis() - lost > BrokenRuns.MEMORY_MILLIS);
		this.gossip.tick(now, effects);
	}

	/**
	 * Returns the state for an operator.
	 * @return numbers of runs and suspects
	 */
	public Map<String, Object> describe() {
		Map<String, Object> state = new TreeMap<>();
		state.put("running", this.running.size());
		state.put("suspects", this.suspicions.size());
		return state;
	}

}
