package io.mulberrylift.gateway.caller;

import java.util.Objects;
import java.util.Optional;

/**
 * What the head of a caller's request says.
 *
 * @param attemptId the caller's identity of this attempt
 * @param host host that the caller named
 * @param path path without query
 * @param apiKey API key, empty when none was sent
 * @param deadlineMillis how long the caller waits
 * @param promptTokens tokens of the prompt; 0 when not stated
 * @param maxAnswerTokens largest number of tokens of the answer; 0 when not stated
 */
public record RequestHead(String attemptId, String host, String path, Optional<String> apiKey, long deadlineMillis,
		long promptTokens, long maxAnswerTokens) {

	/**
	 * Creates the head.
	 */
	public RequestHead {
		Objects.requireNonNull(attemptId, "attemptId");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(apiKey, "key");
	}

}
