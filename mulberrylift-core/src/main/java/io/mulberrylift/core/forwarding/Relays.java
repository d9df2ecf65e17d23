package io.mulberrylift.core.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import io.mulberrylift.core.gossip.RelayPeer;

/**
 * Chooses peers that requests are handed to if this instance does not reach their
 * endpoints.
 *
 * <p>
 * A request that a peer handed to this instance is not handed on. Not thread-safe; owned
 * by the reducer.
 * </p>
 */
final class Relays {

	/** Maximum number of peers that a request is handed to. */
	private static final int MAX_PEERS = 3;

	private final RandomGenerator random;

	/** Number of further peers whose last message is kept. */
	private static final int SPARE_HEARD = 16;

	/** Time in the far past; differences to it do not overflow. */
	private static final long NEVER = Long.MIN_VALUE / 2;

	private List<RelayPeer> peers = List.of();

	/** When the last message of each peer was received, by address. */
	private final Map<String, Long> heardMillis = new HashMap<>();

	/** Region of each availability zone. */
	private Map<String, String> regionsByZone = Map.of();

	Relays(RandomGenerator random) {
		this.random = Objects.requireNonNull(random, "random");
	}

	void setPeers(List<RelayPeer> current) {
		this.peers = List.copyOf(current);
		if (this.heardMillis.size() > 2 * this.peers.size() + SPARE_HEARD) {
			this.heardMillis.keySet()
				.retainAll(this.peers.stream().map(RelayPeer::address).collect(Collectors.toSet()));
		}
	}

	void recordHeard(String address, long nowMillis) {
		this.heardMillis.put(address, nowMillis);
	}

	/**
	 * Returns when the last message of a peer was received.
	 * @param address address of the peer
	 * @return the time in milliseconds, in the far past for never
	 */
	long heardMillis(String address) {
		return this.heardMillis.getOrDefault(address, NEVER);
	}

	void setRegions(Map<String, String> regions) {
		this.regionsByZone = regions;
	}

	int peers() {
		return this.peers.size();
	}

	/**
	 * Chooses a peer that the request was not handed to yet: first one of the same
	 * availability zone if there is any, then one of another zone, since the first zone
	 * may be cut off as a whole. A peer is in a region that the request may be in.
	 * @param state the request
	 * @return address of the peer, empty if there is none
	 */
	Optional<String> choose(ForwardState state) {
		if (state.request.relayTerms().isPresent() || state.triedPeers.size() >= MAX_PEERS) {
			return Optional.empty();
		}
		List<RelayPeer> untried = this.peers.stream()
			.filter((peer) -> !state.triedPeers.contains(peer.address())
					&& state.allowedRegions.allows(peer.zone(), this.regionsByZone))
			.toList();
		boolean near = state.triedPeers.isEmpty();
		List<RelayPeer> preferred = untried.stream().filter((peer) -> peer.sameZone() == near).toList();
		List<RelayPeer> choice = preferred.isEmpty() ? untried : preferred;
		return choice.isEmpty() ? Optional.empty()
				: Optional.of(choice.get(this.random.nextInt(choice.size())).address());
	}

}
