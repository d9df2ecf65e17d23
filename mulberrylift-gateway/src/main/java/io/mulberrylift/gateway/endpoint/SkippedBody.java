package io.mulberrylift.gateway.endpoint;

import java.nio.charset.StandardCharsets;

import io.mulberrylift.gateway.http.JoinedHead;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * The body of an answer that is skipped, in which the awaited answer may hide: an
 * endpoint that breaks off within a body and goes on with the next answer writes that
 * answer where the rest of the body is due.
 *
 * <p>
 * Not thread-safe; confined to the event loop. Holds only the last bytes of the body.
 * </p>
 */
final class SkippedBody {

	/** One less than the length of the beginning of a status line. */
	private static final int MAX_TAIL_CHARACTERS = "HTTP/1.1 20".length();

	private String tail = "";

	/**
	 * Adds a part of the body.
	 * @param part the part, not read
	 * @return {@code true} if the body or its trailer contains a status line
	 */
	boolean hidesAnswer(HttpContent part) {
		if (part instanceof LastHttpContent last && JoinedHead.containsStatusLine(last.trailingHeaders())) {
			return true;
		}
		String text = this.tail + part.content().toString(StandardCharsets.ISO_8859_1);
		this.tail = text.substring(Math.max(0, text.length() - MAX_TAIL_CHARACTERS));
		return JoinedHead.containsStatusLine(text);
	}

}
