package io.mulberrylift.gateway.endpoint;

import java.util.Map;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Recognizes heads that are the beginning of one answer and the rest of another one: an
 * endpoint that breaks off within a head and goes on with the next answer writes its
 * status line into the reason phrase or a header of the first one. Stateless and
 * thread-safe.
 */
final class JoinedHead {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

	private JoinedHead() {
	}

	/**
	 * Returns whether a head contains the status line of another one.
	 * @param head the head
	 * @return {@code true} if its status and its headers may be those of two answers
	 */
	static boolean isJoined(HttpResponse head) {
		return containsStatusLine(head.status().reasonPhrase()) || isJoined(head.headers());
	}

	/**
	 * Returns whether headers or trailers contain a status line.
	 * @param headers the headers
	 * @return {@code true} if they may be those of two answers
	 */
	static boolean isJoined(HttpHeaders headers) {
		for (Map.Entry<String, String> header : headers) {
			if (containsStatusLine(header.getValue()) || containsStatusLine(header.getKey())) {
				return true;
			}
		}
		return false;
	}

	static boolean containsStatusLine(String text) {
		return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
	}

}
