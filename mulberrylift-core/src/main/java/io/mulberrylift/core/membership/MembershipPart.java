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
 * Sends heartbeats, follows those of other instances and notices pauses of this process.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. Receivers: up to 16 listed
 * instances each sends to all others each second. In a larger fleet each instance sends
 * to its own zone each second, the longest listed instance of a zone sends to the longest
 * listed instance of each other zone each second, and every instance sends to each
 * witness zone's longest listed instance each fourth second. Liveness is judged by the
 * monotonic clock, and no promise rests on it.
 * </p>
 */
public final class MembershipPart implements PeerLiveness {

	/** Gap between two events from which this process counts as paused. */
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
	 * Takes the time of an event before the event itself is handled.
	 * @param now the time of the event
	 * @param effects takes the effects
	 * @return whether this process paused before the event
	 */
	public boolean observe(Moment now, Effects effects) {
		Moment before = this.lastObserved;
		this.lastObserved = now;
		if (before == null) {
			return false;
		}
		long gapMillis = Math.max(now.monotonicMillis() - before.monotonicMillis(),
				now.epochMillis() - before.epochMillis());
		if (gapMillis <= PAUSE_THRESHOLD_MILLIS) {
			return false;
		}
		this.pauses++;
		this.peers.values().forEach((peer) -> peer.resetLastReceived(now.monotonicMillis()));
		effects.count(Part.MEMBERSHIP, "paused");
		effects.warn(Part.MEMBERSHIP, "process paused for " + gapMillis + " ms; what it knew before is void");
		return true;
	}

	/**
	 * Takes note of the sender of a message.
	 * @param event the message
	 * @return false when the message comes from a process that was replaced since
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
	 * Forgets the instances that are listed no more and silent.
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
	 * Says in all further heartbeats that this instance is shutting down.
	 */
	public void shutDown() {
		this.leaving = true;
		this.nextHeartbeatMonotonicMillis = Long.MIN_VALUE;
	}

	/**
	 * Sends the heartbeats that are due.
	 * @param runningRequests requests in progress
	 * @param now the current time
	 * @param effects takes the heartbeats
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
		Map<String, InstanceId> oldest = longestListedByZone();
		if (this.fleet.self().id().equals(oldest.get(this.fleet.self().zone().value()))) {
			receivers.addAll(oldest.values());
		}
		if (this.sequence % WITNESS_HEARTBEAT_EVERY == 0) {
			this.fleet.configuration()
				.ifPresent((configuration) -> configuration.witnessZones()
					.stream()
					.map((zone) -> oldest.get(zone.value()))
					.filter(Objects::nonNull)
					.forEach(receivers::add));
		}
	}

	private Map<String, InstanceId> longestListedByZone() {
		Map<String, InstanceId> oldest = new TreeMap<>();
		this.fleet.list()
			.instances()
			.stream()
			.filter((instance) -> !instance.leaving())
			.sorted(Comparator.comparingLong(InstanceDescription::listedSinceEpochMillis)
				.thenComparing(InstanceDescription::id))
			.forEach((instance) -> oldest.putIfAbsent(instance.zone().value(), instance.id()));
		return oldest;
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
	 * Returns the state for an operator.
	 * @return liveness by instance and the number of pauses
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
