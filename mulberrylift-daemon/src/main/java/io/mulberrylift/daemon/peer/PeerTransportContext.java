package io.mulberrylift.daemon.peer;

import io.netty.channel.EventLoopGroup;

/**
 * What all connections to other instances share.
 *
 * @param ownHello the first frame that this process sends
 * @param directory where other instances listen
 * @param partition the switch that cuts connections in tests
 * @param eventLoopGroup the threads
 */
public record PeerTransportContext(Hello ownHello, PeerDirectory directory, PartitionSwitch partition,
		EventLoopGroup eventLoopGroup) {
}
