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
 * Takes the frames of one incoming connection and acknowledges them.
 *
 * <p>
 * Used by the connection's thread alone. No message is taken before a valid first frame.
 * </p>
 */
final class IncomingHandler extends SimpleChannelInboundHandler<ByteBuf> {

	/** Tells a connection that cuts have changed. */
	static final Object PARTITION_CHANGED = new Object();

	private static final Logger LOGGER = LoggerFactory.getLogger(IncomingHandler.class);

	private static final long ACKNOWLEDGE_AFTER_MILLIS = 1_000;

	private static final long HELLO_TIMEOUT_MILLIS = 5_000;

	private static final byte[] EMPTY_BODY = {};

	private final PeerTransportContext shared;

	private final PeerReceiver receiver;

	private Hello sender;

	private boolean acknowledgementDue;

	IncomingHandler(PeerTransportContext shared, PeerReceiver receiver) {
		this.shared = shared;
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
			greet(context, frame);
			return;
		}
		PeerMessage message = PeerCodec.decodeMessage(PeerFrames.readBody(frame));
		this.receiver.receive(this.sender.instance(), this.sender.incarnation(), message);
		acknowledge(context);
	}

	private void greet(ChannelHandlerContext context, ByteBuf frame) throws MalformedFrameException {
		Hello hello = PeerFrames.readHello(frame);
		if (this.shared.partition().isPartitioned(hello.instance())) {
			context.close();
			return;
		}
		this.sender = hello;
		this.shared.directory().connected(hello.instance(), hello.address());
		context.writeAndFlush(PeerFrames.frame(PeerCodec.encode(this.shared.ownHello())));
	}

	private void acknowledge(ChannelHandlerContext context) {
		if (this.acknowledgementDue) {
			return;
		}
		this.acknowledgementDue = true;
		context.executor().schedule(() -> {
			this.acknowledgementDue = false;
			context.writeAndFlush(PeerFrames.frame(EMPTY_BODY));
		}, ACKNOWLEDGE_AFTER_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event == PARTITION_CHANGED && this.sender != null
				&& this.shared.partition().isPartitioned(this.sender.instance())) {
			context.close();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.sender != null) {
			this.shared.directory().disconnected(this.sender.instance(), this.sender.address());
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (context.channel().isActive()) {
			Throwable shown = (cause instanceof DecoderException && cause.getCause() != null) ? cause.getCause()
					: cause;
			LOGGER.warn("peer: connection from {} closed: {}", name(context), shown.getMessage());
		}
		context.close();
	}

	private Object name(ChannelHandlerContext context) {
		return (this.sender != null) ? this.sender.instance() : context.channel().remoteAddress();
	}

}
