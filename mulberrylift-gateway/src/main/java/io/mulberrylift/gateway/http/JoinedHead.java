package io.mulberrylift.gateway.http;

import java.util.Map;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Recognizes heads that are the beginning of one answer and the rest of another one: an
 * endpoint that breaks off within a head and goes on with the next answer writes its
 * status line into the reason phrase or a header of the first one. Stateless and
 * thread-safe.
 */
public final class JoinedHead {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

	private JoinedHead() {
	}

	/**
	 * Returns whether a head contains the status line of another one.
	 * @param head the head
	 * @return {@code true} if its status and its headers may be those of two answers
	 */
	public static boolean isJoined(HttpResponse head) {
		if (containsStatusLine(head.status().reasonPhrase())) {
			return true;
		}
		for (Map.Entry<String, String> header : head.headers()) {
			if (containsStatusLine(header.getValue()) || containsStatusLine(header.getKey())) {
				return true;
			}
		}
		return false;
	}

	private static boolean containsStatusLine(String text) {
		return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
	}

}
