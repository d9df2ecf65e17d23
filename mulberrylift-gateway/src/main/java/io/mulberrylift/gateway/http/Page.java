package io.mulberrylift.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * A page that a {@link PageServer} answers with.
 *
 * @param status the HTTP status
 * @param contentType media type of the body
 * @param body the body
 */
public record Page(int status, String contentType, byte[] body) {

	/** Answer for a path that has no page. */
	public static final Page NOT_FOUND = text(404, "No such page; try /ready, /state or /metrics\n");

	public Page {
		Objects.requireNonNull(contentType, "contentType");
		Objects.requireNonNull(body, "body");
	}

	/**
	 * Creates a page of text.
	 * @param status the HTTP status
	 * @param text the text
	 * @return the page
	 */
	public static Page text(int status, String text) {
		return new Page(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
	}

}
