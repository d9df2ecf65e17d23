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
 * platform
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

}
