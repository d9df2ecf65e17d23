package io.mulberrylift.gateway.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

import io.mulberrylift.core.gossip.InstanceDigest;
import io.mulberrylift.gateway.http.NetAddress;
import io.mulberrylift.gateway.logging.EventLog;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

/**
 * Sends digests to peers as datagrams and receives theirs. Datagrams are not acknowledged
 * or resent; the next full state makes up for a lost one.
 *
 * <p>
 * Not thread-safe; confined to the event loop.
 * </p>
 */
public final class PeerLink implements DigestSender {

	/** Size of the IP and UDP headers of a datagram. */
	public static final int DATAGRAM_OVERHEAD_BYTES = 28;

	/** Number of peers whose socket addresses are kept. */
	private static final int MAX_SOCKET_ADDRESSES = 2048;

	private final Channel channel;

	private final Map<String, InetSocketAddress> socketAddresses = new HashMap<>();

	private long sentBytes;

	/**
	 * Starts to listen.
	 * @param group the event loop
	 * @param address local address to bind to
	 * @param received called with each digest
	 * @param log receives an event for each malformed message
	 */
	public PeerLink(EventLoopGroup group, NetAddress address, Consumer<InstanceDigest> received, EventLog log) {
		this.channel = new Bootstrap().group(group)
			.channel(NioDatagramChannel.class)
			.handler(new Receiver(received, log))
			.bind(address.socketAddress())
			.syncUninterruptibly()
			.channel();
	}

	@Override
	public int send(InstanceDigest digest, List<String> targets, int maxBytes) {
		byte[] message = DigestCodec.encode(digest, maxBytes);
		for (String target : targets) {
			this.channel.write(new DatagramPacket(Unpooled.wrappedBuffer(message), socketAddress(target)));
		}
		this.channel.flush();
		int bytes = targets.size() * (message.length + DATAGRAM_OVERHEAD_BYTES);
		this.sentBytes += bytes;
		return bytes;
	}

	private InetSocketAddress socketAddress(String target) {
		if (this.socketAddresses.size() > MAX_SOCKET_ADDRESSES) {
			this.socketAddresses.clear();
		}
		return this.socketAddresses.computeIfAbsent(target, (address) -> NetAddress.parse(address).socketAddress());
	}

	/**
	 * Returns the total number of bytes sent, including datagram headers.
	 * @return the number of bytes
	 */
	public long sentBytes() {
		return this.sentBytes;
	}

	private static final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

		private final Consumer<InstanceDigest> received;

		private final EventLog log;

		Receiver(Consumer<InstanceDigest> received, EventLog log) {
			this.received = Objects.requireNonNull(received, "received");
			this.log = Objects.requireNonNull(log, "log");
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			try {
				this.received.accept(DigestCodec.decode(senderAddress(packet), ByteBufUtil.getBytes(packet.content())));
			}
			catch (IOException ex) {
				this.log.write("peer-message-malformed", "from", packet.sender(), "problem", ex.getMessage());
			}
		}

		private static String senderAddress(DatagramPacket packet) {
			return packet.sender().getAddress().getHostAddress() + ":" + packet.sender().getPort();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			this.log.write("peer-link-error", "problem", String.valueOf(cause.getMessage()));
		}

	}

}
