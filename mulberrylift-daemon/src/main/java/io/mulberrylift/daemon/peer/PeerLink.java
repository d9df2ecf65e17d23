package io.mulberrylift.daemon.peer;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.peer.PeerMessage;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The outgoing connection to one instance.
 *
 * <p>
 * State is confined to one event loop thread; methods may be called on any thread unless
 * stated otherwise. At most one connection exists at a time. It is opened when a frame is
 * queued and reopened after a backoff while frames are queued.
 * </p>
 */
final class PeerLink {

	private static final Logger LOGGER = LoggerFactory.getLogger(PeerLink.class);

	private final InstanceId peer;

	private final PeerLinkContext context;

	private final EventLoop loop;

	private final OutgoingQueue queue;

	private Channel channel;

	private boolean connectPending;

	private volatile boolean ready;

	private boolean closed;

	private boolean dropLogged;

	private long backoffMillis;

	PeerLink(InstanceId peer, PeerLinkContext context) {
		this.peer = peer;
		this.context = context;
		this.loop = context.transport().eventLoopGroup().next();
		this.queue = new OutgoingQueue(context.settings().maxQueueBytes());
		this.backoffMillis = context.settings().initialBackoffMillis();
	}

	void send(PeerMessage message) {
		this.loop.execute(() -> enqueue(message));
	}

	private void enqueue(PeerMessage message) {
		if (this.closed) {
			return;
		}
		PeerMessageKind kind = PeerMessageKind.of(message);
		byte[] body = PeerCodec.encode(message);
		if (body.length >= PeerFrames.MAX_FRAME_BYTES) {
			LOGGER.warn("peer: dropped {} message of {} bytes to {}: larger than the maximum frame size", kind.label(),
					body.length, this.peer);
			this.context.metrics().dropped(1);
			return;
		}
		countDropped(this.queue.add(new OutgoingQueue.OutgoingFrame(kind, body)));
		connectIfNeeded();
		flush();
	}

	private void countDropped(int dropped) {
		if (dropped == 0) {
			return;
		}
		this.context.metrics().dropped(dropped);
		if (!this.dropLogged) {
			this.dropLogged = true;
			LOGGER.warn("peer: queue to {} is full; dropping messages until it is reachable", this.peer);
		}
	}

	private void connectIfNeeded() {
		if (this.closed || this.channel != null || this.connectPending || this.queue.isEmpty()) {
			return;
		}
		this.connectPending = true;
		Optional<InetSocketAddress> address = this.context.transport()
			.directory()
			.find(this.peer)
			.flatMap(PeerAddress::parse);
		if (address.isEmpty() || this.context.transport().partition().isPartitioned(this.peer)) {
			scheduleReconnect("no known address, or connections blocked");
			return;
		}
		connect(address.get());
	}

	private void connect(InetSocketAddress address) {
		ChannelFuture future = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.context.settings().connectTimeoutMillis())
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel socket) {
					PeerFrames.configurePipeline(socket, PeerLink.this.context.tls(),
							new OutgoingHandler(PeerLink.this, PeerLink.this.context));
				}
			})
			.connect(address);
		this.channel = future.channel();
		this.channel.closeFuture().addListener((closing) -> connectionClosed());
	}

	/**
	 * Marks the link as ready after the handshake frame of the other side. Must be called
	 * on the link's event loop thread.
	 * @param hello the handshake frame
	 */
	void helloReceived(Hello hello) {
		this.ready = true;
		this.connectPending = false;
		this.backoffMillis = this.context.settings().initialBackoffMillis();
		this.dropLogged = false;
		LOGGER.info("peer: connected to {} incarnation {}", this.peer, hello.incarnation());
		flush();
	}

	/**
	 * Writes queued frames while the connection is writable. Must be called on the link's
	 * event loop thread.
	 */
	void flush() {
		if (!this.ready) {
			return;
		}
		boolean written = false;
		while (this.channel.isWritable() && !this.queue.isEmpty()) {
			OutgoingQueue.OutgoingFrame frame = this.queue.poll();
			this.channel.write(PeerFrames.frame(frame.body()));
			this.context.metrics().sent(frame.kind(), frame.body().length + PeerFrames.OVERHEAD_BYTES);
			written = true;
		}
		if (written) {
			this.channel.pipeline().get(OutgoingHandler.class).framesWritten();
			this.channel.flush();
		}
	}

	private void connectionClosed() {
		boolean wasReady = this.ready;
		this.channel = null;
		this.ready = false;
		if (this.closed) {
			return;
		}
		this.connectPending = true;
		scheduleReconnect((wasReady) ? "connection closed" : "connection attempt failed");
	}

	private void scheduleReconnect(String reason) {
		long delayMillis = this.backoffMillis / 2 + this.context.jitterMillis(this.backoffMillis);
		if (this.backoffMillis == this.context.settings().initialBackoffMillis()) {
			LOGGER.info("peer: {}; reconnecting to {} in {} ms", reason, this.peer, delayMillis);
		}
		this.backoffMillis = Math.min(this.context.settings().maxBackoffMillis(), 2 * this.backoffMillis);
		this.loop.schedule(() -> {
			this.connectPending = false;
			connectIfNeeded();
		}, delayMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Closes the connection if the instance is partitioned.
	 */
	void closeIfPartitioned() {
		this.loop.execute(() -> {
			if (this.channel != null && this.context.transport().partition().isPartitioned(this.peer)) {
				this.channel.close();
			}
		});
	}

	/**
	 * Closes the link permanently; later messages are discarded.
	 */
	void close() {
		this.loop.execute(() -> {
			this.closed = true;
			if (this.channel != null) {
				this.channel.close();
			}
		});
	}

	boolean isReady() {
		return this.ready;
	}

	InstanceId peer() {
		return this.peer;
	}

}
