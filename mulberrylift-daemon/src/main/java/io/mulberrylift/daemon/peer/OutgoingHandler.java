package io.mulberrylift.daemon.peer;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the handshake frame of an outgoing connection and monitors the acknowledgements
 * of the other side.
 *
 * <p>
 * Confined to the connection's event loop thread. The connection is closed when written
 * frames are not acknowledged within the configured timeout, so that it does not wait for
 * TCP's own long timeouts after a network partition.
 * </p>
 */
final class OutgoingHandler extends SimpleChannelInboundHandler<ByteBuf> {

	private static final Logger LOGGER = LoggerFactory.getLogger(OutgoingHandler.class);

	private final PeerLink link;

	private final PeerLinkContext linkContext;

	private boolean helloReceived;

	private boolean awaitingAcknowledgement;

	private long awaitingSinceNanos;

	OutgoingHandler(PeerLink link, PeerLinkContext linkContext) {
		this.link = link;
		this.linkContext = linkContext;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		context.writeAndFlush(PeerFrames.frame(PeerCodec.encode(this.linkContext.transport().ownHello())));
		framesWritten();
		scheduleAcknowledgementCheck(context);
	}

	/**
	 * Starts the acknowledgement timeout after frames were written, unless it is running.
	 */
	void framesWritten() {
		if (!this.awaitingAcknowledgement) {
			this.awaitingAcknowledgement = true;
			this.awaitingSinceNanos = System.nanoTime();
		}
	}

	private void scheduleAcknowledgementCheck(ChannelHandlerContext context) {
		long timeoutMillis = this.linkContext.settings().acknowledgementTimeoutMillis();
		context.executor().schedule(() -> {
			if (!context.channel().isActive()) {
				return;
			}
			long waitedNanos = System.nanoTime() - this.awaitingSinceNanos;
			if (this.awaitingAcknowledgement && waitedNanos > TimeUnit.MILLISECONDS.toNanos(timeoutMillis)) {
				LOGGER.warn("peer: acknowledgements from {} timed out; closing the connection", this.link.peer());
				context.close();
				return;
			}
			scheduleAcknowledgementCheck(context);
		}, Math.max(1, timeoutMillis / 4), TimeUnit.MILLISECONDS);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws MalformedFrameException {
		if (!context.channel().isActive()) {
			return;
		}
		this.awaitingAcknowledgement = false;
		if (this.helloReceived) {
			PeerFrames.readBody(frame);
			return;
		}
		Hello hello = PeerFrames.readHello(frame);
		if (!hello.instance().equals(this.link.peer())) {
			throw new MalformedFrameException("address belongs to instance " + hello.instance()
					+ ", not to the expected peer; check the instance list");
		}
		this.helloReceived = true;
		this.link.helloReceived(hello);
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.helloReceived) {
			this.link.flush();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (context.channel().isActive()) {
			Throwable reported = (cause instanceof DecoderException && cause.getCause() != null) ? cause.getCause()
					: cause;
			LOGGER.warn("peer: connection to {} closed: {}", this.link.peer(), reported.getMessage());
		}
		context.close();
	}

}
