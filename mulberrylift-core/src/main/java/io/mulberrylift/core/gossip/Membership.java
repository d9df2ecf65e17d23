package io.mulberrylift.core.gossip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * The instances that are known, found from a few seeds and from what peers tell.
 *
 * <p>
 * Not safe for use by several threads; owned by one event loop. A member is forgotten
 * {@value #REMOVAL_TIMEOUT_MILLIS} ms after it was last heard of; seeds are asked for
 * ever. Each round goes to all members of the own zone and, in a fleet of more than
 * {@value #MAX_FULL_VIEW_MEMBERS} members, to {@value #OTHER_ZONE_TARGETS} random others,
 * so that traffic per instance grows with a zone and not with the fleet.
 * </p>
 */
public final class Membership {

	/** Time without news after which a member is forgotten, in milliseconds. */
	public static final long REMOVAL_TIMEOUT_MILLIS = 6000;

	/**
	 * Time without news after which a member no longer counts as live, in milliseconds.
	 */
	public static final long LIVENESS_TIMEOUT_MILLIS = 3500;

	/** Fleet size up to which every round goes to every member. */
	public static final int MAX_FULL_VIEW_MEMBERS = 16;

	/** Members of other zones that a round goes to in larger fleets. */
	public static final int OTHER_ZONE_TARGETS = 2;

	/**
	 * Silence after which a smaller incarnation is a restart with its clock set back, in
	 * milliseconds.
	 */
	private static final long RESTART_DETECTION_MILLIS = 1000;

	private static final int SAMPLE_SIZE = 3;

	private static final long SEED_INTERVAL_MILLIS = 1000;

	private final String self;

	private final String zone;

	private final RandomGenerator random;

	private final Map<String, Member> members = new HashMap<>();

	private List<String> seeds = List.of();

	private long nextSeedMillis = Long.MIN_VALUE;

	/**
	 * Creates the view of a process that knows nobody.
	 * @param self own address
	 * @param zone own availability zone
	 * @param random chooses targets and samples
	 */
	public Membership(String self, String zone, RandomGenerator random) {
		this.self = Objects.requireNonNull(self, "self");
		this.zone = Objects.requireNonNull(zone, "zone");
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Sets the addresses that are asked while they are not known as members.
	 * @param addresses the addresses
	 */
	public void setSeeds(List<String> addresses) {
		this.seeds = List.copyOf(addresses);
	}

	/**
	 * Takes a digest of a peer.
	 * @param digest the digest
	 * @param nowMillis the current time
	 * @return whether it is news; false for older or repeated messages
	 */
	public boolean receive(InstanceDigest digest, long nowMillis) {
		if (digest.sender().equals(this.self)) {
			return false;
		}
		Member known = this.members.get(digest.sender());
		if (known != null && !known.isSupersededBy(digest, nowMillis)) {
			return false;
		}
		if (digest.fullState().isEmpty()) {
			if (known != null) {
				this.members.put(digest.sender(), known.refreshed(digest, nowMillis));
			}
			return known != null;
		}
		FullState state = digest.fullState().get();
		this.members.put(digest.sender(), new Member(state.zone(), digest.incarnation(), digest.sequence(), nowMillis,
				state.configurationVersion(), state.storeRevision()));
		for (KnownMember told : state.members()) {
			boolean stranger = !told.address().equals(this.self) && !this.members.containsKey(told.address());
			if (stranger && told.ageMillis() < LIVENESS_TIMEOUT_MILLIS) {
				this.members.put(told.address(), new Member(told.zone(), 0, 0, nowMillis - told.ageMillis(), 0, 0));
			}
		}
		return true;
	}

	/**
	 * Returns the members whose work this instance follows: all in a small fleet, those
	 * of the own zone in a large one.
	 * @return addresses without repetition
	 */
	public List<String> trackedPeers() {
		return this.members.entrySet()
			.stream()
			.filter((entry) -> !isPartial() || entry.getValue().zone().equals(this.zone))
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Returns where the next whole state goes.
	 * @param nowMillis the current time
	 * @return addresses without repetition
	 */
	public List<String> targets(long nowMillis) {
		this.members.values().removeIf((member) -> nowMillis - member.lastReceivedMillis() > REMOVAL_TIMEOUT_MILLIS);
		List<String> targets = new ArrayList<>(trackedPeers());
		List<String> others = new ArrayList<>(this.members.keySet());
		others.removeAll(targets);
		Collections.sort(others);
		for (int count = 0; count < OTHER_ZONE_TARGETS && !others.isEmpty(); count++) {
			targets.add(others.remove(this.random.nextInt(others.size())));
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
	 * Returns a few random members to tell a peer about.
	 * @param nowMillis the current time
	 * @return the members
	 */
	public List<KnownMember> sample(long nowMillis) {
		List<String> addresses = new ArrayList<>(this.members.keySet());
		Collections.sort(addresses);
		List<KnownMember> sample = new ArrayList<>();
		for (int count = 0; count < SAMPLE_SIZE && !addresses.isEmpty(); count++) {
			String address = addresses.remove(this.random.nextInt(addresses.size()));
			Member member = this.members.get(address);
			sample.add(new KnownMember(address, member.zone(), nowMillis - member.lastReceivedMillis()));
		}
		return sample;
	}

	/**
	 * Returns how many instances take part, this one counted.
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
	 * Returns live members that have read something newer from the platform's store.
	 * @param configurationVersion own newest configuration
	 * @param revision own revision of the store
	 * @param nowMillis the current time
	 * @return their addresses, those with the newest view first
	 */
	public List<String> aheadOf(long configurationVersion, long revision, long nowMillis) {
		return this.members.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isAheadOf(configurationVersion, revision)
					&& nowMillis - entry.getValue().lastReceivedMillis() <= LIVENESS_TIMEOUT_MILLIS)
			.sorted(Comparator.comparingLong((entry) -> -entry.getValue().storeRevision()))
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Returns whether rounds reach only a part of the members.
	 * @return true in large fleets
	 */
	public boolean isPartial() {
		return this.members.size() > MAX_FULL_VIEW_MEMBERS;
	}

	private record Member(String zone, long incarnation, long sequence, long lastReceivedMillis,
			long configurationVersion, long storeRevision) {

		Member refreshed(InstanceDigest digest, long nowMillis) {
			return new Member(this.zone, digest.incarnation(), digest.sequence(), nowMillis, this.configurationVersion,
					this.storeRevision);
		}

		boolean isAheadOf(long version, long revision) {
			return this.configurationVersion > version || this.storeRevision > revision;
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
