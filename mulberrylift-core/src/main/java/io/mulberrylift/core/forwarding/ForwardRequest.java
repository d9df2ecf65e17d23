package io.mulberrylift.core.forwarding;

import java.util.Objects;
import java.util.Optional;

/**
 * The part of a caller's request that decides where it goes.
 *
 * @param attemptId the caller's identity of this attempt
 * @param host host that the caller named
 * @param path path without query
 * @param key API key, empty when none was sent
 * @param deadlineMillis how long the caller waits, from arrival
 * @param promptTokens tokens of the prompt; 0 for plain services
 * @param maxOutputTokens largest number of tokens of the answer; 0 for plain services
 * @param fingerprint equal for sends of the same work by the same caller
 */
public record ForwardRequest(String attemptId, String host, String path, Optional<String> key, long deadlineMillis,
		long promptTokens, long maxOutputTokens, long fingerprint) {

	/**
	 * Creates the request.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public ForwardRequest {
		Objects.requireNonNull(attemptId, "attemptId");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(key, "key");
		if (deadlineMillis < 0 || promptTokens < 0 || maxOutputTokens < 0) {
			throw new IllegalArgumentException("Times and token counts must not be negative");
		}
	}

}
