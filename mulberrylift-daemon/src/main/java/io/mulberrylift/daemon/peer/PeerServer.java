package io.mulberrylift.daemon.peer;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;

/**
 * Accepts connections from other instances and receives their messages.
 *
 * <p>
 * Safe for use by several threads. A connection that violates the protocol is closed
 * without affecting other connections.
 * </p>
 */
public final class PeerServer implements AutoCloseable {

	private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final LongAdder accepted = new LongAdder();

	private final Channel listener;

	/**
	 * Creates the server and starts to listen.
	 * @param address listen address; port 0 selects a free port
	 * @param transport context shared by the connections to other instances
	 * @param receiver receives the messages
	 * @param tls the TLS settings, empty for plain TCP
	 */
	public PeerServer(InetSocketAddress address, PeerTransportContext transport, PeerReceiver receiver,
			Optional<SslContext> tls) {
		transport.partition().addListener(this::closePartitioned);
		this.listener = new ServerBootstrap().group(transport.eventLoopGroup())
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					PeerServer.this.connections.add(channel);
					PeerServer.this.accepted.increment();
					PeerFrames.configurePipeline(channel, tls, new IncomingHandler(transport, receiver));
				}
			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	private void closePartitioned() {
		this.connections
			.forEach((channel) -> channel.pipeline().fireUserEventTriggered(IncomingHandler.PARTITION_CHANGED));
	}

	/**
	 * Returns the port on which the server listens.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	/**
	 * Returns the number of connections accepted since the start.
	 * @return the number of connections
	 */
	public long acceptedConnections() {
		return this.accepted.sum();
	}

	@Override
	public void close() {
		this.listener.close().syncUninterruptibly();
		this.connections.close().syncUninterruptibly();
	}

}
