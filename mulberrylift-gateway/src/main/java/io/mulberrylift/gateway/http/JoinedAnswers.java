package io.mulberrylift.gateway.http;

import java.util.Map;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Detects heads that consist of the beginning of one answer and another answer. Stateless
 * and thread-safe.
 */
public final class JoinedAnswers {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");

	private JoinedAnswers() {
	}

	/**
	 * Returns whether a line of a head continues with a status line. The status of such a
	 * head is that of another answer than its last headers.
	 * @param response the head
	 * @return {@code true} if the head must not be used
	 */
	public static boolean containsStatusLine(HttpResponse response) {
		if (STATUS_LINE.matcher(response.status().reasonPhrase()).find()) {
			return true;
		}
		for (Map.Entry<String, String> header : response.headers()) {
			if (STATUS_LINE.matcher(header.getValue()).find()) {
				return true;
			}
		}
		return false;
	}

}
