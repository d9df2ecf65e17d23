package io.mulberrylift.gateway.caller;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import io.mulberrylift.gateway.http.NetAddress;
import io.mulberrylift.gateway.pressure.Pressure;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;

/**
 * Accepts callers' connections.
 *
 * <p>
 * May be created and started from any thread; connections run on the event loop.
 * </p>
 */
public final class CallerServer {

	/** Maximum number of connections that wait to be accepted. */
	private static final int BACKLOG = 512;

	private final EventLoopGroup group;

	private final CallerProtocol protocol;

	private final CallerListener listener;

	private final LongSupplier exchangeIds;

	/** Open connections; confined to the event loop. */
	private final Set<CallerConnection> connections = new HashSet<>();

	private ListeningChannel listening;

	/**
	 * Creates a server that does not listen yet.
	 * @param group the event loop
	 * @param protocol decodes request heads
	 * @param listener receives the events of connections
	 * @param exchangeIds returns a new identifier for each request
	 */
	public CallerServer(EventLoopGroup group, CallerProtocol protocol, CallerListener listener,
			LongSupplier exchangeIds) {
		this.group = Objects.requireNonNull(group, "group");
		this.protocol = Objects.requireNonNull(protocol, "protocol");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.exchangeIds = Objects.requireNonNull(exchangeIds, "exchangeIds");
	}

	/**
	 * Starts to listen.
	 * @param address local address to bind to
	 * @return the listening channel
	 */
	public Channel listen(NetAddress address) {
		return listen(address, (host) -> true);
	}

	/**
	 * Starts to listen for connections from certain hosts. Others are closed.
	 * @param address local address to bind to
	 * @param admits whether connections from a host are accepted, by its IP address
	 * @return the listening channel
	 */
	public Channel listen(NetAddress address, Predicate<String> admits) {
		this.listening = (ListeningChannel) new ServerBootstrap().group(this.group)
			.channelFactory(ListeningChannel::new)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_SNDBUF, Pressure.SEND_BUFFER_BYTES)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Pressure.WATER_MARK)
			.childOption(ChannelOption.RCVBUF_ALLOCATOR, Pressure.readAllocator())
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel accepted) {
					if (!admits.test(((InetSocketAddress) accepted.remoteAddress()).getAddress().getHostAddress())) {
						accepted.close();
						return;
					}
					CallerConnection connection = configurePipeline(accepted.pipeline(), CallerServer.this.protocol,
							CallerServer.this.listener, CallerServer.this.exchangeIds);
					CallerServer.this.connections.add(connection);
					accepted.closeFuture().addListener((closed) -> CallerServer.this.connections.remove(connection));
				}
			})
			.bind(address.socketAddress())
			.syncUninterruptibly()
			.channel();
		return this.listening;
	}

	/**
	 * Stops to accept connections as they come: the operating system queues them until
	 * {@link #stopListening}. To be called on the event loop.
	 * @throws IllegalStateException if the server does not listen yet
	 */
	public void stopAccepting() {
		if (this.listening == null) {
			throw new IllegalStateException("The server does not listen; call listen first");
		}
		this.listening.deregister();
	}

	/**
	 * Accepts the queued connections, which would be reset otherwise, and closes the
	 * listening socket. To be called on the event loop, repeatedly, after
	 * {@link #stopAccepting}.
	 * @return {@code false} if the loop has to select before
	 */
	public boolean stopListening() {
		return this.listening.acceptAllAndClose();
	}

	/**
	 * Closes idle connections and lets the others end with their answers. To be called on
	 * the event loop, repeatedly.
	 */
	public void closeConnections() {
		List.copyOf(this.connections).forEach(CallerConnection::stop);
	}

	/**
	 * Returns the number of open connections. To be called on the event loop.
	 * @return the number, including those whose sending side is closed
	 */
	public int openConnections() {
		return this.connections.size();
	}

	/**
	 * Returns the number of connections on which a request is in progress or its answer
	 * is being sent. To be called on the event loop.
	 * @return the number
	 */
	public int busyConnections() {
		return (int) this.connections.stream().filter(CallerConnection::isBusy).count();
	}

	static CallerConnection configurePipeline(ChannelPipeline pipeline, CallerProtocol protocol,
			CallerListener listener, LongSupplier ids) {
		CallerResponseEncoder encoder = new CallerResponseEncoder();
		CallerConnection connection = new CallerConnection(protocol, listener, encoder, ids);
		pipeline.addLast(new ReadActivityHandler(connection));
		pipeline.addLast(new StrictRequestDecoder(listener.limits().maxHeaderBytes()));
		pipeline.addLast(encoder);
		pipeline.addLast(connection);
		return connection;
	}

	private static final class ReadActivityHandler extends ChannelInboundHandlerAdapter {

		private final CallerConnection connection;

		ReadActivityHandler(CallerConnection connection) {
			this.connection = connection;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object bytes) {
			this.connection.bytesReceived();
			context.fireChannelRead(bytes);
		}

	}

}
