package io.mulberrylift.gateway.pressure;

import java.util.Objects;
import java.util.function.Consumer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Writes a body in pieces, as far as its connection accepts them, so that only the write
 * buffer of the connection is copied.
 *
 * <p>
 * Not thread-safe; confined to the event loop. The owner calls {@link #advance} when the
 * connection becomes writable; nothing is written after the connection was closed.
 * </p>
 */
public final class BodyWriter {

	/** Size of a piece; less than the write buffer of a connection. */
	static final int PIECE_BYTES = 16 * 1024;

	private final Channel channel;

	private final byte[] body;

	private final Consumer<Boolean> done;

	private int position;

	private boolean ended;

	private boolean advancing;

	/**
	 * Creates a writer that has written nothing yet. The head is to be written before.
	 * @param channel the connection
	 * @param body the body
	 * @param done called with whether the body was sent
	 */
	public BodyWriter(Channel channel, byte[] body, Consumer<Boolean> done) {
		this.channel = Objects.requireNonNull(channel, "channel");
		this.body = Objects.requireNonNull(body, "body");
		this.done = Objects.requireNonNull(done, "done");
	}

	/**
	 * Writes as much as the connection accepts.
	 */
	public void advance() {
		// A flush may make the connection writable, which calls this method again.
		if (this.advancing || this.ended) {
			return;
		}
		this.advancing = true;
		while (this.channel.isWritable() && this.position < this.body.length) {
			while (this.channel.isWritable() && this.position < this.body.length) {
				int size = Math.min(PIECE_BYTES, this.body.length - this.position);
				this.channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(this.body, this.position, size)));
				this.position += size;
			}
			this.channel.flush();
		}
		this.advancing = false;
		if (this.position == this.body.length) {
			this.ended = true;
			this.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
				.addListener((sent) -> this.done.accept(sent.isSuccess()));
		}
		else {
			this.channel.flush();
		}
	}

}
