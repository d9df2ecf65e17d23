package io.mulberrylift.core.configuration;

import java.util.Objects;

/**
 * A configuration document as the platform published it.
 *
 * @param version version assigned by the platform
 * @param json the text of the document, JSON with comments
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
