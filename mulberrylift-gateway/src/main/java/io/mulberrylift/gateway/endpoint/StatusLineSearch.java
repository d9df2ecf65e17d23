package io.mulberrylift.gateway.endpoint;

import java.nio.charset.StandardCharsets;

import io.mulberrylift.gateway.http.JoinedAnswer;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Searches the body of an answer for the status line of another one: an endpoint that
 * breaks off within a body and goes on with the next answer writes that answer where the
 * rest of the body is due.
 *
 * <p>
 * Not thread-safe; confined to the event loop. Holds only the last bytes of the body.
 * </p>
 */
final class StatusLineSearch {

	/** One less than the length of the beginning of a status line. */
	private static final int MAX_TAIL_CHARACTERS = "HTTP/1.1 20".length();

	private String tail = "";

	/**
	 * Adds a part of the body.
	 * @param part the part, not read
	 * @return {@code true} if the part or its trailer completes a status line
	 */
	boolean finds(HttpContent part) {
		if (part instanceof LastHttpContent last && JoinedAnswer.containsStatusLine(last.trailingHeaders())) {
			return true;
		}
		return finds(part.content());
	}

	/**
	 * Adds bytes of the body.
	 * @param bytes the bytes, not read
	 * @return {@code true} if they complete a status line
	 */
	boolean finds(ByteBuf bytes) {
		String text = this.tail + bytes.toString(StandardCharsets.ISO_8859_1);
		this.tail = text.substring(Math.max(0, text.length() - MAX_TAIL_CHARACTERS));
		return JoinedAnswer.containsStatusLine(text);
	}

}
