package io.mulberrylift.core.gossip;

import java.util.Objects;

/**
 * A peer that reaches endpoints and can send requests to them for this instance.
 *
 * @param address address at which other instances reach it
 * @param sameZone whether it is in the availability zone of this instance
 */
public record RelayPeer(String address, boolean sameZone) {

	/**
	 * Creates the peer.
	 */
	public RelayPeer {
		Objects.requireNonNull(address, "address");
	}

}
