package io.mulberrylift.core.configuration;

import java.util.Objects;

/**
 * A configuration document as the platform published it.
 *
 * @param version version that the platform gave the document
 * @param json the text, JSON with comments
 */
public record PublishedDocument(long version, String json) {

	/**
	 * Creates the document.
	 * @throws NullPointerException if the text is null
	 */
	public PublishedDocument {
		Objects.requireNonNull(json, "json");
	}

}
