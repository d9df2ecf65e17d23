package io.mulberrylift.daemon.peer;

import java.util.concurrent.TimeUnit;

import io.mulberrylift.core.peer.PeerMessage;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Receives and acknowledges the frames of one incoming connection.
 *
 * <p>
 * Confined to the connection's event loop thread. Messages are accepted only after a
 * valid handshake frame.
 * </p>
 */
final class IncomingHandler extends SimpleChannelInboundHandler<ByteBuf> {

	/** User event: the set of partitioned instances has changed. */
	static final Object PARTITION_CHANGED = new Object();

	private static final Logger LOGGER = LoggerFactory.getLogger(IncomingHandler.class);

	private static final long ACKNOWLEDGEMENT_DELAY_MILLIS = 1_000;

	private static final long HELLO_TIMEOUT_MILLIS = 5_000;

	private static final byte[] EMPTY_BODY = {};

	private final PeerTransportContext transport;

	private final PeerReceiver receiver;

	private Hello sender;

	private boolean acknowledgementScheduled;

	IncomingHandler(PeerTransportContext transport, PeerReceiver receiver) {
		this.transport = transport;
		this.receiver = receiver;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		context.executor().schedule(() -> {
			if (this.sender == null) {
				context.close();
			}
		}, HELLO_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws MalformedFrameException {
		if (!context.channel().isActive()) {
			return;
		}
		if (this.sender == null) {
			receiveHello(context, frame);
			return;
		}
		PeerMessage message = PeerCodec.decodeMessage(PeerFrames.readBody(frame));
		this.receiver.receive(this.sender.instance(), this.sender.incarnation(), message);
		scheduleAcknowledgement(context);
	}

	private void receiveHello(ChannelHandlerContext context, ByteBuf frame) throws MalformedFrameException {
		Hello hello = PeerFrames.readHello(frame);
		if (this.transport.partition().isPartitioned(hello.instance())) {
			context.close();
			return;
		}
		this.sender = hello;
		this.transport.directory().connected(hello.instance(), hello.address());
		context.writeAndFlush(PeerFrames.frame(PeerCodec.encode(this.transport.ownHello())));
	}

	private void scheduleAcknowledgement(ChannelHandlerContext context) {
		if (this.acknowledgementScheduled) {
			return;
		}
		this.acknowledgementScheduled = true;
		context.executor().schedule(() -> {
			this.acknowledgementScheduled = false;
			context.writeAndFlush(PeerFrames.frame(EMPTY_BODY));
		}, ACKNOWLEDGEMENT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event == PARTITION_CHANGED && this.sender != null
				&& this.transport.partition().isPartitioned(this.sender.instance())) {
			context.close();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.sender != null) {
			this.transport.directory().disconnected(this.sender.instance(), this.sender.address());
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (context.channel().isActive()) {
			Throwable reported = (cause instanceof DecoderException && cause.getCause() != null) ? cause.getCause()
					: cause;
			LOGGER.warn("peer: connection from {} closed: {}", senderName(context), reported.getMessage());
		}
		context.close();
	}

	private Object senderName(ChannelHandlerContext context) {
		return (this.sender != null) ? this.sender.instance() : context.channel().remoteAddress();
	}

}
