package io.mulberrylift.daemon.peer;

import io.netty.channel.EventLoopGroup;

/**
 * Context shared by all connections to other instances.
 *
 * @param ownHello handshake frame of this process
 * @param directory addresses of other instances
 * @param partition switch that simulates network partitions in tests
 * @param eventLoopGroup the event loop threads
 */
public record PeerTransportContext(Hello ownHello, PeerDirectory directory, PartitionSwitch partition,
		EventLoopGroup eventLoopGroup) {
}
