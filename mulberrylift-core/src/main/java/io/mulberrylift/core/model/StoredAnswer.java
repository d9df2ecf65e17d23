package io.mulberrylift.core.model;

import java.util.Objects;

/**
 * A complete answer that is stored for later sends of the same idempotency key.
 *
 * <p>
 * Immutable by convention: the body must not be changed after construction.
 * </p>
 *
 * @param httpStatus the HTTP status of the original answer
 * @param contentType the media type of the body
 * @param body the content of the body
 */
public record StoredAnswer(int httpStatus, String contentType, byte[] body) {

	/**
	 * Creates the answer.
	 * @throws NullPointerException if an argument is null
	 */
	public StoredAnswer {
		Objects.requireNonNull(contentType, "contentType");
		Objects.requireNonNull(body, "body");
	}

}
