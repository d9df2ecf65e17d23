package io.mulberrylift.gateway.loop;

import java.util.List;
import java.util.Objects;

import io.mulberrylift.core.forwarding.GatewayIdentity;
import io.mulberrylift.gateway.http.NetAddress;

/**
 * What one gateway process needs to know at its start.
 *
 * @param identity who the instance is
 * @param callersAddress address for callers
 * @param readyAddress address that the balancer asks
 * @param peersAddress address for peers, TCP and UDP
 * @param metricsAddress address of the metrics page
 * @param seedAddresses addresses of some instances for peers
 * @param maxPeerBytesPerSecond most bytes that are sent to peers in a second
 * @param shutdownTimeoutMillis longest time between a request to end and the end
 */
public record GatewaySettings(GatewayIdentity identity, NetAddress callersAddress, NetAddress readyAddress,
		NetAddress peersAddress, NetAddress metricsAddress, List<String> seedAddresses, int maxPeerBytesPerSecond,
		long shutdownTimeoutMillis) {

	/**
	 * Creates the settings.
	 */
	public GatewaySettings {
		Objects.requireNonNull(identity, "identity");
		Objects.requireNonNull(callersAddress, "callers");
		Objects.requireNonNull(readyAddress, "ready");
		Objects.requireNonNull(peersAddress, "peers");
		Objects.requireNonNull(metricsAddress, "metrics");
		seedAddresses = List.copyOf(seedAddresses);
	}

}
