package io.mulberrylift.gateway.http;

import java.net.SocketOption;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;

/**
 * Socket options of the client connections of an instance.
 */
public final class HttpChannels {

	/**
	 * Idle time after which the kernel probes a connection; the smallest value it
	 * accepts.
	 */
	private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

	private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;

	/** Number of unanswered probes after which the kernel closes a connection. */
	private static final int KEEP_ALIVE_PROBES = 2;

	private HttpChannels() {
	}

	/**
	 * Returns a bootstrap for connections that detect an unreachable peer by TCP
	 * keep-alive.
	 * @param group the event loop
	 * @param connectTimeoutMillis maximum time to establish a connection
	 * @return the bootstrap, without a handler
	 */
	public static Bootstrap clientBootstrap(EventLoopGroup group, int connectTimeoutMillis) {
		return clientBootstrap(group, connectTimeoutMillis, NioSocketChannel::new);
	}

	/**
	 * Returns a bootstrap for connections of a certain type that detect an unreachable
	 * peer by TCP keep-alive.
	 * @param group the event loop
	 * @param connectTimeoutMillis maximum time to establish a connection
	 * @param channels creates the connections
	 * @return the bootstrap, without a handler
	 */
	public static Bootstrap clientBootstrap(EventLoopGroup group, int connectTimeoutMillis,
			ChannelFactory<? extends Channel> channels) {
		return new Bootstrap().group(group)
			.channelFactory(channels)
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
