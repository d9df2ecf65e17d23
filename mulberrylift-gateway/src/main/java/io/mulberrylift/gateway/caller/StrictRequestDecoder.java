package io.mulberrylift.gateway.caller;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those that state both Content-Length and
 * Transfer-Encoding: their length is ambiguous, which permits request smuggling.
 *
 * <p>
 * Not thread-safe; each connection has its own instance.
 * </p>
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	private static final int MAX_CHUNK_BYTES = 65536;

	StrictRequestDecoder(int maxHeaderBytes) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(maxHeaderBytes)
			.setMaxHeaderSize(maxHeaderBytes)
			.setMaxChunkSize(MAX_CHUNK_BYTES));
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("Both Content-Length and Transfer-Encoding were sent; send one of them");
	}

}
