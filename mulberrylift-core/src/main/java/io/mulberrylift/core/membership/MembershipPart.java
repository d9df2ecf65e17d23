package io.mulberrylift.core.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import io.mulberrylift.core.effect.ControlEffect.Part;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.effect.PeerEffect;
import io.mulberrylift.core.event.PeerEvent;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.Heartbeat;
import io.mulberrylift.core.time.Moment;
import io.mulberrylift.core.witness.PeerLiveness;

/**
 * Sends heartbeats, tracks the heartbeats of other instances, and detects pauses of this
 * process.
 *
 * <p>
 * Not thread-safe; owned by the reducer. In a fleet of up to 16 listed instances, each
 * instance sends a heartbeat to all others every second. In a larger fleet, each instance
 * sends to its own zone every second, the longest listed instance of a zone also sends to
 * the longest listed instance of each other zone every second, and every instance sends
 * to the longest listed instance of each witness zone every fourth second. Liveness is
 * determined by the monotonic clock, and no guarantee to callers depends on it.
 * </p>
 */
public final class MembershipPart implements PeerLiveness {

	/** A longer gap between two events counts as a pause of this process. */
	public static final long PAUSE_THRESHOLD_MILLIS = 2_000;

	private static final long HEARTBEAT_INTERVAL_MILLIS = 1_000;

	private static final int MAX_FULL_MESH_INSTANCES = 16;

	private static final int WITNESS_HEARTBEAT_EVERY = 4;

	private static final long SUSPECT_AFTER_MILLIS = 3_500;

	private static final long LOST_AFTER_MILLIS = 10_000;

	private final FleetState fleet;

	private final Map<InstanceId, Peer> peers = new HashMap<>();

	private Moment lastObserved;

	private long sequence;

	private long nextHeartbeatMonotonicMillis = Long.MIN_VALUE;

	private boolean leaving;

	private long pauses;

	/**
	 * Creates the part.
	 * @param fleet the shared state, not null
	 */
	public MembershipPart(FleetState fleet) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
	}

	/**
	 * Records the time of an event. Must be called before the event itself is handled.
	 * @param now the time of the event
	 * @param effects receives the effects
	 * @return whether this process paused before the event
	 */
	public boolean observe(Moment now, Effects effects) {
		Moment previous = this.lastObserved;
		this.lastObserved = now;
		if (previous == null) {
			return false;
		}
		long gapMillis = Math.max(now.monotonicMillis() - previous.monotonicMillis(),
				now.epochMillis() - previous.epochMillis());
		if (gapMillis <= PAUSE_THRESHOLD_MILLIS) {
			return false;
		}
		this.pauses++;
		this.peers.values().forEach((peer) -> peer.resetLastReceived(now.monotonicMillis()));
		effects.count(Part.MEMBERSHIP, "paused");
		effects.warn(Part.MEMBERSHIP,
				"process paused for " + gapMillis + " ms; state from before the pause is not trusted");
		return true;
	}

	/**
	 * Records the sender of a message and, for a heartbeat, its contents.
	 * @param event the message
	 * @return false if the sending process has since been replaced
	 */
	public boolean received(PeerEvent.Received event) {
		long nowMonotonicMillis = event.at().monotonicMillis();
		Peer peer = this.peers.computeIfAbsent(event.from(),
				(id) -> new Peer(event.senderIncarnation(), nowMonotonicMillis));
		boolean current = peer.received(event.senderIncarnation(), nowMonotonicMillis);
		if (current && event.message() instanceof Heartbeat heartbeat) {
			peer.recordHeartbeat(heartbeat);
		}
		return current;
	}

	/**
	 * Removes the instances that are no longer listed and from which no message was
	 * received for a minute.
	 */
	public void listRead() {
		Set<InstanceId> listed = new HashSet<>();
		this.fleet.list().instances().forEach((instance) -> listed.add(instance.id()));
		long now = (this.lastObserved != null) ? this.lastObserved.monotonicMillis() : 0;
		this.peers.entrySet()
			.removeIf((entry) -> !listed.contains(entry.getKey())
					&& entry.getValue().isOverdue(now, 6 * LOST_AFTER_MILLIS));
	}

	/**
	 * Announces in all further heartbeats that this instance is shutting down.
	 */
	public void shutDown() {
		this.leaving = true;
		this.nextHeartbeatMonotonicMillis = Long.MIN_VALUE;
	}

	/**
	 * Sends the heartbeats that are due.
	 * @param runningRequests number of requests in progress
	 * @param now the current time
	 * @param effects receives the heartbeats
	 */
	public void tick(int runningRequests, Moment now, Effects effects) {
		if (now.monotonicMillis() < this.nextHeartbeatMonotonicMillis) {
			return;
		}
		this.nextHeartbeatMonotonicMillis = now.monotonicMillis() + HEARTBEAT_INTERVAL_MILLIS;
		this.sequence++;
		Heartbeat heartbeat = new Heartbeat(this.fleet.self().zone(), this.sequence, this.fleet.configurationVersion(),
				this.fleet.list().version(), this.leaving, runningRequests);
		receivers().forEach((receiver) -> effects.add(new PeerEffect.Send(receiver, heartbeat)));
	}

	private Set<InstanceId> receivers() {
		Set<InstanceId> receivers = new LinkedHashSet<>();
		List<InstanceDescription> instances = this.fleet.list().instances();
		boolean small = instances.size() <= MAX_FULL_MESH_INSTANCES;
		ZoneId ownZone = this.fleet.self().zone();
		instances.stream()
			.filter((instance) -> small || instance.zone().equals(ownZone))
			.forEach((instance) -> receivers.add(instance.id()));
		if (!small) {
			addOtherZones(receivers);
		}
		receivers.remove(this.fleet.self().id());
		return receivers;
	}

	private void addOtherZones(Set<InstanceId> receivers) {
		Map<String, InstanceId> longestListed = longestListedByZone();
		if (this.fleet.self().id().equals(longestListed.get(this.fleet.self().zone().value()))) {
			receivers.addAll(longestListed.values());
		}
		if (this.sequence % WITNESS_HEARTBEAT_EVERY == 0) {
			this.fleet.configuration()
				.ifPresent((configuration) -> configuration.witnessZones()
					.stream()
					.map((zone) -> longestListed.get(zone.value()))
					.filter(Objects::nonNull)
					.forEach(receivers::add));
		}
	}

	private Map<String, InstanceId> longestListedByZone() {
		Map<String, InstanceId> longestListed = new TreeMap<>();
		this.fleet.list()
			.instances()
			.stream()
			.filter((instance) -> !instance.leaving())
			.sorted(Comparator.comparingLong(InstanceDescription::listedSinceEpochMillis)
				.thenComparing(InstanceDescription::id))
			.forEach((instance) -> longestListed.putIfAbsent(instance.zone().value(), instance.id()));
		return longestListed;
	}

	@Override
	public OptionalLong incarnation(InstanceId instance) {
		Peer peer = this.peers.get(instance);
		return (peer != null) ? OptionalLong.of(peer.incarnation()) : OptionalLong.empty();
	}

	@Override
	public boolean isLost(InstanceId instance) {
		return isOverdue(instance, LOST_AFTER_MILLIS);
	}

	@Override
	public boolean isSuspect(InstanceId instance) {
		return isOverdue(instance, SUSPECT_AFTER_MILLIS);
	}

	private boolean isOverdue(InstanceId instance, long limitMillis) {
		Peer peer = this.peers.get(instance);
		return peer != null && this.lastObserved != null
				&& peer.isOverdue(this.lastObserved.monotonicMillis(), limitMillis);
	}

	@Override
	public boolean isLeaving(InstanceId instance) {
		Peer peer = this.peers.get(instance);
		return peer != null && peer.isLeaving();
	}

	/**
	 * Returns the state shown to operators.
	 * @return the liveness by instance and the number of pauses
	 */
	public Map<String, Object> describe() {
		Map<String, Object> state = new TreeMap<>();
		Map<String, String> liveness = new TreeMap<>();
		this.peers.keySet().forEach((id) -> liveness.put(id.value(), liveness(id)));
		state.put("peers", liveness);
		state.put("pauses", this.pauses);
		return state;
	}

	private String liveness(InstanceId id) {
		if (isLost(id)) {
			return "lost";
		}
		return isSuspect(id) ? "suspect" : "alive";
	}

}
