package io.mulberrylift.gateway.http;

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
public final class JoinedAnswer {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

	private JoinedAnswer() {
	}

	/**
	 * Returns whether a head contains the status line of another one.
	 * @param head the head
	 * @return {@code true} if its status and its headers may be those of two answers
	 */
	public static boolean isJoined(HttpResponse head) {
		return containsStatusLine(head.status().reasonPhrase()) || containsStatusLine(head.headers());
	}

	/**
	 * Returns whether headers or trailers contain a status line.
	 * @param headers the headers
	 * @return {@code true} if a name or a value contains one
	 */
	public static boolean containsStatusLine(HttpHeaders headers) {
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
	public static boolean isContained(byte[] body, String identifier) {
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
	public static boolean isEvent(byte[] event) {
		return event.length > 0 && event[0] == 'H'
				&& STATUS_LINE.matcher(new String(event, StandardCharsets.ISO_8859_1)).lookingAt();
	}

	/**
	 * Returns whether a text contains the beginning of a status line.
	 * @param text the text
	 * @return {@code true} if it contains a version of HTTP and a status code
	 */
	public static boolean containsStatusLine(String text) {
		return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
	}

}
