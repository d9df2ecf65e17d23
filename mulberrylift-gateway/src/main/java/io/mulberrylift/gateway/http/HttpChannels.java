package io.mulberrylift.gateway.http;

import java.net.SocketOption;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;

/**
 * Socket options that all connections of an instance share.
 */
public final class HttpChannels {

	/**
	 * Silence after which the kernel probes a connection, in seconds; its least value.
	 */
	private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

	private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;

	/** Unanswered probes after which a connection is broken. */
	private static final int KEEP_ALIVE_PROBES = 2;

	private HttpChannels() {
	}

	/**
	 * Returns a bootstrap for connections that notice a silent peer.
	 * @param group the event loop
	 * @param connectTimeoutMillis longest time for a connection to come about
	 * @return the bootstrap, without a handler
	 */
	public static Bootstrap clientBootstrap(EventLoopGroup group, int connectTimeoutMillis) {
		return new Bootstrap().group(group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(channelOption(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
			.option(channelOption(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
			.option(channelOption(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES);
	}

	private static ChannelOption<Integer> channelOption(SocketOption<Integer> option) {
		return NioChannelOption.of(option);
	}

}
