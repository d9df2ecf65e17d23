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
 * Accepts connections of other instances and takes their messages.
 *
 * <p>
 * Safe for use by several threads. A connection whose frames are not as the protocol says
 * is closed and touches no other one.
 * </p>
 */
public final class PeerServer implements AutoCloseable {

	private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final LongAdder accepted = new LongAdder();

	private final Channel listener;

	/**
	 * Creates the server and starts to listen.
	 * @param address where to listen; port 0 for any free one
	 * @param shared what the connections to other instances share
	 * @param receiver takes the messages
	 * @param tls the TLS settings, empty for plain TCP
	 */
	public PeerServer(InetSocketAddress address, PeerTransportContext shared, PeerReceiver receiver,
			Optional<SslContext> tls) {
		shared.partition().addListener(this::closeCut);
		this.listener = new ServerBootstrap().group(shared.eventLoopGroup())
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					PeerServer.this.connections.add(channel);
					PeerServer.this.accepted.increment();
					PeerFrames.configurePipeline(channel, tls, new IncomingHandler(shared, receiver));
				}
			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	private void closeCut() {
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
	 * Returns how many connections were accepted since the start.
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
