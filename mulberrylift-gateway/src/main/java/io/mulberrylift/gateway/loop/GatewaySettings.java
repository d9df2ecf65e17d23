package io.mulberrylift.gateway.loop;

import java.util.List;
import java.util.Objects;

import io.mulberrylift.core.forwarding.GatewayIdentity;
import io.mulberrylift.gateway.http.NetAddress;

/**
 * Settings of one gateway process.
 *
 * @param identity name, zone and limits of the instance
 * @param callersAddress address that callers connect to
 * @param readyAddress address of the readiness page for the load balancer
 * @param peersAddress address for peers: UDP for digests, TCP for the view of the
 * platform; at the next port, TCP for requests that peers hand to this instance
 * @param metricsAddress address of the metrics page
 * @param seedAddresses peer addresses of some instances, from which the others are
 * discovered
 * @param maxPeerBytesPerSecond maximum average number of bytes sent to peers per second
 * @param shutdownTimeoutMillis maximum time from a shutdown request to termination
 */
public record GatewaySettings(GatewayIdentity identity, NetAddress callersAddress, NetAddress readyAddress,
		NetAddress peersAddress, NetAddress metricsAddress, List<String> seedAddresses, int maxPeerBytesPerSecond,
		long shutdownTimeoutMillis) {

	public GatewaySettings {
		Objects.requireNonNull(identity, "identity");
		Objects.requireNonNull(callersAddress, "callersAddress");
		Objects.requireNonNull(readyAddress, "readyAddress");
		Objects.requireNonNull(peersAddress, "peersAddress");
		Objects.requireNonNull(metricsAddress, "metricsAddress");
		seedAddresses = List.copyOf(seedAddresses);
	}

	/**
	 * Returns the address at which this instance accepts requests from its peers.
	 * @return the address
	 */
	public NetAddress relayAddress() {
		return relayAddress(this.peersAddress);
	}

	/**
	 * Returns the address at which an instance accepts requests from its peers.
	 * @param peersAddress address of the instance for peers
	 * @return the address
	 */
	static NetAddress relayAddress(NetAddress peersAddress) {
		return new NetAddress(peersAddress.host(), peersAddress.port() + 1);
	}

}
