package io.mulberrylift.daemon.peer;

import io.netty.channel.EventLoopGroup;

/**
 * What all connections to other instances share.
 *
 * @param self the first frame that this process sends
 * @param directory where other instances listen
 * @param cuts the switch that cuts connections in tests
 * @param group the threads
 */
public record PeerShared(Hello self, PeerDirectory directory, PeerCuts cuts, EventLoopGroup group) {
}
