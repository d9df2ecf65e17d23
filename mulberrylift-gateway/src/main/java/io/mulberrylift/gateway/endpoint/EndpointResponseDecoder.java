package io.mulberrylift.gateway.endpoint;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

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

	EndpointResponseDecoder() {
		super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES).setMaxChunkSize(MAX_CHUNK_BYTES));
	}

	void setBodyless(boolean bodyless) {
		this.bodyless = bodyless;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.bodyless || super.isContentAlwaysEmpty(message);
	}

}
