package io.mulberrylift.gateway.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A socket channel that records whether its peer ended the stream of bytes in an orderly
 * way.
 *
 * <p>
 * Not thread-safe; confined to the event loop. A channel that is closed after a failed
 * write, whose error no handler receives, has not reached the end of the stream.
 * </p>
 */
final class EndpointChannel extends NioSocketChannel {

	private boolean endOfStream;

	/**
	 * Returns whether the end of the peer's bytes was read.
	 * @return {@code false} while the channel is open, and if it was reset or closed
	 * locally
	 */
	boolean isEndOfStream() {
		return this.endOfStream;
	}

	@Override
	protected int doReadBytes(ByteBuf bytes) throws Exception {
		int read = super.doReadBytes(bytes);
		if (read < 0) {
			this.endOfStream = true;
		}
		return read;
	}

}
