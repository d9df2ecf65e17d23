package io.mulberrylift.gateway.caller;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.forwarding.RelayTerms;

/**
 * The parts of a caller's request head that the gateway uses.
 *
 * @param attemptId identifier that the caller gave to this attempt
 * @param host value of the Host header
 * @param path path without query
 * @param apiKey API key, empty when none was sent
 * @param deadlineMillis time that the caller waits for the answer
 * @param promptTokens number of prompt tokens, 0 if not stated
 * @param maxOutputTokens maximum number of answer tokens, 0 if not stated
 * @param promptParts identifiers of the parts of the prompt that other requests may
 * contain as well, each once; empty if not stated or malformed
 * @param relayTerms terms of a peer that received the request from its caller; empty if
 * this instance received it
 */
public record RequestHead(String attemptId, String host, String path, Optional<String> apiKey, long deadlineMillis,
		long promptTokens, long maxOutputTokens, List<String> promptParts, Optional<RelayTerms> relayTerms) {

	public RequestHead {
		Objects.requireNonNull(attemptId, "attemptId");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(apiKey, "apiKey");
		promptParts = List.copyOf(promptParts);
		Objects.requireNonNull(relayTerms, "relayTerms");
	}

}
