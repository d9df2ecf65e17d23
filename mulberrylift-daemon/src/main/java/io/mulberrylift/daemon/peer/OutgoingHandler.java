package io.mulberrylift.daemon.peer;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Greets the other side of an outgoing connection and watches its acknowledgements.
 *
 * <p>
 * Used by the connection's thread alone. The connection is closed when written frames
 * stay without an acknowledgement for too long, so that it does not wait for TCP's own
 * long timeouts after a network partition.
 * </p>
 */
final class OutgoingHandler extends SimpleChannelInboundHandler<ByteBuf> {

	private static final Logger LOGGER = LoggerFactory.getLogger(OutgoingHandler.class);

	private final PeerLink link;

	private final PeerLinkContext shared;

	private boolean greeted;

	private boolean waiting;

	private long waitingSinceNanos;

	OutgoingHandler(PeerLink link, PeerLinkContext shared) {
		this.link = link;
		this.shared = shared;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		context.writeAndFlush(PeerFrames.frame(PeerCodec.encode(this.shared.transport().ownHello())));
		framesWritten();
		watch(context);
	}

	/**
	 * Notes that frames were written.
	 */
	void framesWritten() {
		if (!this.waiting) {
			this.waiting = true;
			this.waitingSinceNanos = System.nanoTime();
		}
	}

	private void watch(ChannelHandlerContext context) {
		long silenceMillis = this.shared.settings().acknowledgementTimeoutMillis();
		context.executor().schedule(() -> {
			if (!context.channel().isActive()) {
				return;
			}
			long silentNanos = System.nanoTime() - this.waitingSinceNanos;
			if (this.waiting && silentNanos > TimeUnit.MILLISECONDS.toNanos(silenceMillis)) {
				LOGGER.warn("peer: {} is silent; closing the connection", this.link.peer());
				context.close();
				return;
			}
			watch(context);
		}, Math.max(1, silenceMillis / 4), TimeUnit.MILLISECONDS);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws MalformedFrameException {
		if (!context.channel().isActive()) {
			return;
		}
		this.waiting = false;
		if (this.greeted) {
			PeerFrames.readBody(frame);
			return;
		}
		Hello hello = PeerFrames.readHello(frame);
		if (!hello.instance().equals(this.link.peer())) {
			throw new MalformedFrameException("instance " + hello.instance() + " listens there; check the list");
		}
		this.greeted = true;
		this.link.helloReceived(hello);
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.greeted) {
			this.link.flush();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (context.channel().isActive()) {
			Throwable shown = (cause instanceof DecoderException && cause.getCause() != null) ? cause.getCause()
					: cause;
			LOGGER.warn("peer: connection to {} closed: {}", this.link.peer(), shown.getMessage());
		}
		context.close();
	}

}
