package io.mulberrylift.gateway.endpoint;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Recognizes answers that go on with another one: an endpoint that breaks off within a
 * head and goes on with the next answer writes its status line into the reason phrase or
 * a header of the first one, or into its body if it breaks off later or states no length.
 * Stateless and thread-safe.
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

	/**
	 * Returns whether a body goes on with another answer to its request.
	 * @param body the body
	 * @param identifier the caller's identifier of the request
	 * @return {@code true} if it contains a status line and names the request after it
	 */
	static boolean isContained(byte[] body, String identifier) {
		String text = new String(body, StandardCharsets.ISO_8859_1);
		if (!text.contains("HTTP/")) {
			return false;
		}
		Matcher statusLine = STATUS_LINE.matcher(text);
		return statusLine.find() && text.indexOf(identifier, statusLine.end()) >= 0;
	}

	/**
	 * Returns whether an event of a stream is the head of another answer.
	 * @param event bytes of the event
	 * @return {@code true} if it begins with a status line
	 */
	static boolean isEvent(byte[] event) {
		return event.length > 0 && event[0] == 'H'
				&& STATUS_LINE.matcher(new String(event, StandardCharsets.ISO_8859_1)).lookingAt();
	}

	static boolean containsStatusLine(String text) {
		return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
	}

}
