package io.mulberrylift.core.gossip;

import java.util.Objects;

/**
 * A peer that reaches endpoints and can send requests to them for this instance.
 *
 * @param address address at which other instances reach it
 * @param sameZone whether it is in the availability zone of this instance
 * @param zone its availability zone, empty if it is not known
 */
public record RelayPeer(String address, boolean sameZone, String zone) {

	/**
	 * Creates the peer.
	 */
	public RelayPeer {
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(zone, "zone");
	}

	/**
	 * Creates a peer whose availability zone is not known.
	 * @param address address at which other instances reach it
	 * @param sameZone whether it is in the availability zone of this instance
	 */
	public RelayPeer(String address, boolean sameZone) {
		this(address, sameZone, "");
	}

}
