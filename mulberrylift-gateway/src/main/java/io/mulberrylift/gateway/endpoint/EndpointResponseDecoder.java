package io.mulberrylift.gateway.endpoint;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Decodes responses; those to HEAD requests have no body.
 *
 * <p>
 * Not thread-safe; each connection has its own instance.
 * </p>
 */
final class EndpointResponseDecoder extends HttpResponseDecoder {

	private static final int MAX_HEADER_BYTES = 32768;

	private static final int MAX_CHUNK_BYTES = 65536;

	private boolean bodyless;

	/** Whether bytes were decoded that belong to no complete answer. */
	private boolean withinAnswer;

	EndpointResponseDecoder() {
		super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES).setMaxChunkSize(MAX_CHUNK_BYTES));
	}

	void setBodyless(boolean bodyless) {
		this.bodyless = bodyless;
	}

	boolean isBodyless() {
		return this.bodyless;
	}

	/**
	 * Returns whether bytes were received after the latest complete answer, even if they
	 * are less than a head.
	 * @return {@code false} if the next byte that is received begins an answer
	 */
	boolean hasFurtherBytes() {
		return this.withinAnswer || actualReadableBytes() > 0;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
		int readableBytes = in.readableBytes();
		int decoded = out.size();
		super.decode(context, in, out);
		if (out.size() > decoded) {
			this.withinAnswer = !(out.get(out.size() - 1) instanceof LastHttpContent);
		}
		else if (in.readableBytes() < readableBytes) {
			this.withinAnswer = true;
		}
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.bodyless || super.isContentAlwaysEmpty(message);
	}

}
