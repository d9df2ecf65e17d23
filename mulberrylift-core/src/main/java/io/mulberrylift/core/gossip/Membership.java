package io.mulberrylift.core.gossip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.hash.Rendezvous;
import io.mulberrylift.core.limit.FleetView;

/**
 * Membership view of the fleet, discovered from seed addresses and from the members that
 * peers report.
 *
 * <p>
 * Not thread-safe; owned by one event loop. A member is removed
 * {@value #REMOVAL_TIMEOUT_MILLIS} ms after its last message; seeds that are not members
 * are contacted indefinitely. In a fleet of up to {@value #MAX_FULL_VIEW_MEMBERS}
 * members, each gossip round goes to all members. In a larger one, it goes to all members
 * of this instance's zone and to {@value #OTHER_ZONE_TARGETS} others, new ones first, so
 * that traffic per instance grows with the size of a zone and not with that of the fleet.
 * </p>
 */
public final class Membership {

	/** Time without a message after which a member is removed, in milliseconds. */
	public static final long REMOVAL_TIMEOUT_MILLIS = 6000;

	/**
	 * Time without a message after which a member no longer counts as live, in
	 * milliseconds.
	 */
	public static final long LIVENESS_TIMEOUT_MILLIS = 3500;

	/** Number of known members up to which every round goes to all of them. */
	public static final int MAX_FULL_VIEW_MEMBERS = 16;

	/** Number of members of other zones that a round goes to in larger fleets. */
	public static final int OTHER_ZONE_TARGETS = 2;

	/**
	 * Time without a message after which a smaller incarnation number is accepted as a
	 * restart of a process whose clock was set back, in milliseconds.
	 */
	private static final long RESTART_DETECTION_MILLIS = 1000;

	/**
	 * Time without news of an instance for which it keeps its shares of the fleet's
	 * rates, in milliseconds; longer than a restart or a short partition.
	 */
	private static final long SHARE_RETENTION_MILLIS = 30_000;

	/**
	 * Time without news of a zone for which it keeps its shares, in milliseconds; longer
	 * than most partitions.
	 */
	private static final long ZONE_RETENTION_MILLIS = 600_000;

	/**
	 * Time after the start without a newly discovered instance or zone from which this
	 * instance uses its shares, in milliseconds. In large fleets, instances discover each
	 * other at intervals of some seconds.
	 */
	private static final long DISCOVERY_MILLIS = 10_000;

	private static final long VIEW_INTERVAL_MILLIS = 500;

	private static final int SAMPLE_SIZE = 3;

	private static final int OTHER_ZONE_SAMPLE_SIZE = 6;

	private static final long SEED_INTERVAL_MILLIS = 1000;

	/**
	 * Time without a message after which a member no longer counts as a reader of the
	 * store, in milliseconds; longer than the longest interval between full states.
	 */
	private static final long READER_TIMEOUT_MILLIS = 2600;

	/** Subject of the rendezvous hash that orders the readers of a zone. */
	private static final String READER_SUBJECT = "store";

	private final String self;

	private final String zone;

	private final RandomGenerator random;

	private final Map<String, Member> members = new HashMap<>();

	/** New members of other zones that this instance has not sent a message to yet. */
	private final Set<String> newcomers = new LinkedHashSet<>();

	/** Members of other zones that have reported no member themselves. */
	private final Set<String> uninformed = new LinkedHashSet<>();

	/** When instances of this zone were last active, as far as is known. */
	private final Map<String, Long> zoneInstanceMillis = new HashMap<>();

	/** When instances of each zone were last active, as far as is known. */
	private final Map<String, Long> zoneMillis = new HashMap<>();

	private FleetView view;

	private long viewMillis = Long.MIN_VALUE / 2;

	private List<RelayPeer> relayPeers = List.of();

	private long relayPeersMillis = Long.MIN_VALUE / 2;

	/** Number of instances of this zone and of zones that were discovered. */
	private int discovered;

	/** When that number last changed. */
	private long discoveryMillis;

	private boolean discoveryComplete;

	private List<String> seeds = List.of();

	private long nextSeedMillis = Long.MIN_VALUE;

	/**
	 * Creates an empty view.
	 * @param self address of this instance
	 * @param zone availability zone of this instance
	 * @param random source of randomness for targets and samples
	 */
	public Membership(String self, String zone, RandomGenerator random) {
		this.self = Objects.requireNonNull(self, "self");
		this.zone = Objects.requireNonNull(zone, "zone");
		this.random = Objects.requireNonNull(random, "random");
		this.view = new FleetView(self, zone, Set.of(self), Set.of(zone), false);
	}

	/**
	 * Sets the seed addresses, which are contacted while they are not known as members.
	 * @param addresses the addresses
	 */
	public void setSeeds(List<String> addresses) {
		this.seeds = List.copyOf(addresses);
	}

	/**
	 * Updates the view from a peer's digest.
	 * @param digest the digest
	 * @param nowMillis the current time
	 * @return true if the digest was applied; false for the own digest, older or repeated
	 * messages and changes from an unknown sender
	 */
	public boolean receive(InstanceDigest digest, long nowMillis) {
		if (digest.sender().equals(this.self)) {
			return false;
		}
		Member current = this.members.get(digest.sender());
		if (current != null && !current.isSupersededBy(digest, nowMillis)) {
			return false;
		}
		if (digest.fullState().isEmpty()) {
			if (current != null) {
				this.members.put(digest.sender(), current.refreshed(digest, nowMillis));
			}
			return current != null;
		}
		FullState state = digest.fullState().get();
		if (current == null && !state.zone().equals(this.zone)) {
			this.newcomers.add(digest.sender());
		}
		if (state.members().isEmpty() && !state.zone().equals(this.zone)) {
			this.uninformed.add(digest.sender());
		}
		else {
			this.uninformed.remove(digest.sender());
		}
		this.members.put(digest.sender(),
				new Member(state.zone(), digest.incarnation(), digest.sequence(), nowMillis, nowMillis,
						state.configurationVersion(), state.storeRevision(), state.storeKnowledge(),
						state.endpointsReachable()));
		recordActivity(digest.sender(), state.zone(), nowMillis);
		for (KnownMember reported : state.members()) {
			recordActivity(reported.address(), reported.zone(), nowMillis - reported.ageMillis());
			boolean unknown = !reported.address().equals(this.self) && !this.members.containsKey(reported.address());
			if (unknown && reported.ageMillis() < LIVENESS_TIMEOUT_MILLIS) {
				this.members.put(reported.address(), new Member(reported.zone(), 0, 0, nowMillis - reported.ageMillis(),
						Long.MIN_VALUE / 2, 0, StoreRevision.NONE, Optional.empty(), false));
			}
		}
		return true;
	}

	private void recordActivity(String address, String memberZone, long activeMillis) {
		this.zoneMillis.merge(memberZone, activeMillis, Math::max);
		if (memberZone.equals(this.zone)) {
			this.zoneInstanceMillis.merge(address, activeMillis, Math::max);
		}
	}

	/**
	 * Returns the instances that share the rates of the fleet. Instances and zones that
	 * were lost recently are included, so that others do not use their shares while they
	 * are only unreachable.
	 * @param nowMillis the current time
	 * @return the view, updated at intervals of {@value #VIEW_INTERVAL_MILLIS} ms
	 */
	public FleetView view(long nowMillis) {
		if (nowMillis - this.viewMillis < VIEW_INTERVAL_MILLIS) {
			return this.view;
		}
		this.viewMillis = nowMillis;
		recordActivity(this.self, this.zone, nowMillis);
		this.zoneInstanceMillis.values().removeIf((active) -> nowMillis - active > SHARE_RETENTION_MILLIS);
		this.zoneMillis.values().removeIf((active) -> nowMillis - active > ZONE_RETENTION_MILLIS);
		if (!this.discoveryComplete) {
			completeDiscovery(nowMillis);
		}
		this.view = new FleetView(this.self, this.zone, this.zoneInstanceMillis.keySet(), this.zoneMillis.keySet(),
				this.discoveryComplete);
		return this.view;
	}

	private void completeDiscovery(long nowMillis) {
		int found = this.zoneInstanceMillis.size() + this.zoneMillis.size();
		if (found != this.discovered) {
			this.discovered = found;
			this.discoveryMillis = nowMillis;
		}
		boolean alone = this.zoneMillis.size() == 1 && this.zoneInstanceMillis.size() == 1;
		boolean hasSeeds = this.seeds.stream().anyMatch((seed) -> !seed.equals(this.self));
		this.discoveryComplete = (alone) ? !hasSeeds : nowMillis - this.discoveryMillis >= DISCOVERY_MILLIS;
	}

	/**
	 * Returns the members whose work this instance tracks: all of them in a small fleet,
	 * those of its own zone in a large one.
	 * @return distinct addresses
	 */
	public List<String> trackedPeers() {
		return this.members.entrySet()
			.stream()
			.filter((entry) -> !isPartial() || entry.getValue().zone().equals(this.zone))
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Returns all other known members.
	 * @return distinct addresses
	 */
	public List<String> peers() {
		return List.copyOf(this.members.keySet());
	}

	/**
	 * Removes members that have timed out and returns the recipients of the next full
	 * state.
	 * @param nowMillis the current time
	 * @return distinct addresses
	 */
	public List<String> targets(long nowMillis) {
		this.members.values().removeIf((member) -> nowMillis - member.lastReceivedMillis() > REMOVAL_TIMEOUT_MILLIS);
		List<String> targets = new ArrayList<>(trackedPeers());
		List<String> others = new ArrayList<>(this.members.keySet());
		others.removeAll(targets);
		Collections.sort(others);
		this.newcomers.retainAll(others);
		this.uninformed.retainAll(others);
		for (int count = 0; count < OTHER_ZONE_TARGETS && !others.isEmpty(); count++) {
			String target = otherZoneTarget(others);
			this.newcomers.remove(target);
			this.uninformed.remove(target);
			others.remove(target);
			targets.add(target);
		}
		if (nowMillis >= this.nextSeedMillis) {
			this.nextSeedMillis = nowMillis + SEED_INTERVAL_MILLIS;
			this.seeds.stream()
				.filter((seed) -> !seed.equals(this.self) && !this.members.containsKey(seed))
				.forEach(targets::add);
		}
		return targets;
	}

	/**
	 * Chooses a member of another zone: one that knows no member, so that it depends on
	 * this instance, before other new members and those before a random one.
	 * @param others the members of other zones, not empty
	 * @return its address
	 */
	private String otherZoneTarget(List<String> others) {
		if (!this.uninformed.isEmpty()) {
			return this.uninformed.iterator().next();
		}
		return (this.newcomers.isEmpty()) ? others.get(this.random.nextInt(others.size()))
				: this.newcomers.iterator().next();
	}

	/**
	 * Returns the recipients of a message that should reach all instances soon: the
	 * tracked peers and {@value #OTHER_ZONE_TARGETS} random other members, which may not
	 * know this instance.
	 * @return distinct addresses
	 */
	public List<String> promptTargets() {
		List<String> targets = new ArrayList<>(trackedPeers());
		List<String> others = new ArrayList<>(this.members.keySet());
		others.removeAll(targets);
		Collections.sort(others);
		for (int count = 0; count < OTHER_ZONE_TARGETS && !others.isEmpty(); count++) {
			targets.add(others.remove(this.random.nextInt(others.size())));
		}
		return targets;
	}

	/**
	 * Returns up to {@value #SAMPLE_SIZE} random members to report to the members of this
	 * instance's zone, or to instances whose zone is not known.
	 * @param nowMillis the current time
	 * @return the members
	 */
	public List<KnownMember> sample(long nowMillis) {
		return sample(new ArrayList<>(this.members.keySet()), SAMPLE_SIZE, nowMillis);
	}

	/**
	 * Returns up to {@value #OTHER_ZONE_SAMPLE_SIZE} random members of the zone of
	 * another member to report to it. It finds the members of its zone in this way, also
	 * if none of the seeds is one of them.
	 * @param member address of the member
	 * @param nowMillis the current time
	 * @return the members; those of any zone if the address is not that of a member
	 */
	public List<KnownMember> sampleFor(String member, long nowMillis) {
		Member recipient = this.members.get(member);
		if (recipient == null) {
			return sample(nowMillis);
		}
		List<String> addresses = new ArrayList<>();
		this.members.forEach((address, each) -> {
			if (each.zone().equals(recipient.zone()) && !address.equals(member)) {
				addresses.add(address);
			}
		});
		return sample(addresses, OTHER_ZONE_SAMPLE_SIZE, nowMillis);
	}

	private List<KnownMember> sample(List<String> addresses, int size, long nowMillis) {
		Collections.sort(addresses);
		List<KnownMember> sample = new ArrayList<>();
		for (int count = 0; count < size && !addresses.isEmpty(); count++) {
			String address = addresses.remove(this.random.nextInt(addresses.size()));
			Member member = this.members.get(address);
			sample.add(new KnownMember(address, member.zone(), nowMillis - member.lastReceivedMillis()));
		}
		return sample;
	}

	/**
	 * Returns the number of live instances, including this one.
	 * @param nowMillis the current time
	 * @return the number, at least 1
	 */
	public int liveInstances(long nowMillis) {
		return 1 + (int) this.members.values()
			.stream()
			.filter((member) -> nowMillis - member.lastReceivedMillis() <= LIVENESS_TIMEOUT_MILLIS)
			.count();
	}

	/**
	 * Returns what is known of the members that may read the platform's store for this
	 * instance.
	 * @param configurationVersion newest configuration of this instance
	 * @param revision revision of the store that this instance has read
	 * @param nowMillis the current time
	 * @return the readers
	 */
	public StoreReaders storeReaders(long configurationVersion, StoreRevision revision, long nowMillis) {
		long ownScore = Rendezvous.score(this.self, READER_SUBJECT);
		boolean sharing = isPartial();
		int ahead = 0;
		long confirmedAgeMillis = StoreKnowledge.UNCONFIRMED_MILLIS;
		for (Map.Entry<String, Member> entry : this.members.entrySet()) {
			Member member = entry.getValue();
			if (!member.hasState() || nowMillis - member.lastReceivedMillis() > READER_TIMEOUT_MILLIS) {
				continue;
			}
			if (member.storeKnowledge().isEmpty()) {
				sharing = false;
				continue;
			}
			StoreKnowledge knowledge = member.storeKnowledge().get();
			if (member.zone().equals(this.zone) && knowledge.role().takesPlace()
					&& Rendezvous.score(entry.getKey(), READER_SUBJECT) > ownScore) {
				ahead++;
			}
			if (!member.isAheadOf(configurationVersion, revision)) {
				confirmedAgeMillis = Math.min(confirmedAgeMillis,
						knowledge.confirmedAgeMillis() + nowMillis - member.stateMillis());
			}
		}
		return new StoreReaders(sharing, ahead, confirmedAgeMillis);
	}

	/**
	 * Returns the version of the newest configuration of a live member.
	 * @param nowMillis the current time
	 * @return the version, 0 if no member has one
	 */
	public long newestConfigurationVersion(long nowMillis) {
		long newest = 0;
		for (Member member : this.members.values()) {
			if (nowMillis - member.lastReceivedMillis() <= LIVENESS_TIMEOUT_MILLIS) {
				newest = Math.max(newest, member.configurationVersion());
			}
		}
		return newest;
	}

	/**
	 * Returns the live members that have a newer configuration or a newer revision of the
	 * platform's store: those of the own zone, or others if it has none.
	 * @param configurationVersion newest configuration of this instance
	 * @param revision revision of the store that this instance has read
	 * @param nowMillis the current time
	 * @return their addresses, newest store revision first
	 */
	public List<String> aheadOf(long configurationVersion, StoreRevision revision, long nowMillis) {
		List<Map.Entry<String, Member>> ahead = new ArrayList<>();
		boolean ownZone = false;
		for (Map.Entry<String, Member> entry : this.members.entrySet()) {
			if (entry.getValue().isAheadOf(configurationVersion, revision)
					&& nowMillis - entry.getValue().lastReceivedMillis() <= LIVENESS_TIMEOUT_MILLIS) {
				ahead.add(entry);
				ownZone |= entry.getValue().zone().equals(this.zone);
			}
		}
		if (ahead.isEmpty()) {
			return List.of();
		}
		boolean onlyOwnZone = ownZone;
		return ahead.stream()
			.filter((entry) -> !onlyOwnZone || entry.getValue().zone().equals(this.zone))
			.sorted(Comparator.comparing((entry) -> entry.getValue().storeRevision(), Comparator.reverseOrder()))
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Returns the live members that reach endpoints.
	 * @param nowMillis the current time
	 * @return the members in order of their addresses, updated at intervals of
	 * {@value #VIEW_INTERVAL_MILLIS} ms
	 */
	public List<RelayPeer> relayPeers(long nowMillis) {
		if (nowMillis - this.relayPeersMillis < VIEW_INTERVAL_MILLIS) {
			return this.relayPeers;
		}
		this.relayPeersMillis = nowMillis;
		this.relayPeers = this.members.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().endpointsReachable()
					&& nowMillis - entry.getValue().lastReceivedMillis() <= LIVENESS_TIMEOUT_MILLIS)
			.map((entry) -> new RelayPeer(entry.getKey(), entry.getValue().zone().equals(this.zone),
					entry.getValue().zone()))
			.sorted(Comparator.comparing(RelayPeer::address))
			.toList();
		return this.relayPeers;
	}

	/**
	 * Returns whether a host is that of a live or recently lost member.
	 * @param host the IP address
	 * @return true if a member has that address
	 */
	public boolean isMemberHost(String host) {
		return this.members.keySet().stream().anyMatch((address) -> address.startsWith(host + ":"));
	}

	/**
	 * Returns whether gossip rounds reach only a subset of the members.
	 * @return true in large fleets
	 */
	public boolean isPartial() {
		return this.members.size() > MAX_FULL_VIEW_MEMBERS;
	}

	private record Member(String zone, long incarnation, long sequence, long lastReceivedMillis, long stateMillis,
			long configurationVersion, StoreRevision storeRevision, Optional<StoreKnowledge> storeKnowledge,
			boolean endpointsReachable) {

		Member refreshed(InstanceDigest digest, long nowMillis) {
			return new Member(this.zone, digest.incarnation(), digest.sequence(), nowMillis, this.stateMillis,
					this.configurationVersion, this.storeRevision, this.storeKnowledge, this.endpointsReachable);
		}

		/**
		 * Returns whether a full state of the member has been received.
		 * @return false for a member that only others reported
		 */
		boolean hasState() {
			return this.incarnation > 0;
		}

		boolean isAheadOf(long version, StoreRevision revision) {
			return this.configurationVersion > version || this.storeRevision.isAfter(revision);
		}

		boolean isSupersededBy(InstanceDigest digest, long nowMillis) {
			if (this.incarnation != digest.incarnation()) {
				return digest.fullState().isPresent() && (this.incarnation < digest.incarnation()
						|| nowMillis - this.lastReceivedMillis > RESTART_DETECTION_MILLIS);
			}
			return this.sequence < digest.sequence();
		}

	}

}
