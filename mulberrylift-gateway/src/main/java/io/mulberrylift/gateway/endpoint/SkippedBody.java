package io.mulberrylift.gateway.endpoint;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * The body of an answer that is skipped. If its endpoint broke it off and went on with
 * the next answer, it contains the status line of that answer.
 *
 * <p>
 * Not thread-safe; confined to the event loop.
 * </p>
 */
final class SkippedBody {

	/** One less than the characters of a status line up to its status. */
	private static final int MAX_TAIL_CHARACTERS = "HTTP/1.1 200".length() - 1;

	private String tail = "";

	/**
	 * Adds a part of the body.
	 * @param content the part, which is not read
	 * @return whether the body or its trailers contain a status line
	 */
	boolean append(HttpContent content) {
		ByteBuf bytes = content.content();
		String text = this.tail + bytes.toString(StandardCharsets.ISO_8859_1);
		this.tail = text.substring(Math.max(0, text.length() - MAX_TAIL_CHARACTERS));
		return JoinedHead.containsStatusLine(text)
				|| (content instanceof LastHttpContent last && JoinedHead.isJoined(last.trailingHeaders()));
	}

}
