package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.gossip.RequestAttribute;

/**
 * Properties of a caller's request that determine its routing and placement.
 *
 * @param attemptId identifier of this attempt, assigned by the caller
 * @param host host as sent by the caller
 * @param path path without query
 * @param key API key, empty if none was sent
 * @param deadlineMillis time from arrival until the caller's deadline
 * @param promptTokens number of prompt tokens; 0 for services without an engine cost
 * model
 * @param maxOutputTokens maximum number of output tokens; 0 for services without an
 * engine cost model
 * @param fingerprint hash that is equal for repeated sends of the same request by the
 * same caller
 * @param promptParts hashes of the parts of the prompt that other requests may contain as
 * well, each once; empty if they are not known
 * @param relayTerms terms of a peer that received the request from its caller; empty if
 * this instance received it
 */
public record ForwardRequest(String attemptId, String host, String path, Optional<String> key, long deadlineMillis,
		long promptTokens, long maxOutputTokens, long fingerprint, List<Long> promptParts,
		Optional<RelayTerms> relayTerms) {

	/**
	 * Creates the request.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public ForwardRequest {
		Objects.requireNonNull(attemptId, "attemptId");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(key, "key");
		promptParts = List.copyOf(promptParts);
		Objects.requireNonNull(relayTerms, "relayTerms");
		if (deadlineMillis < 0 || promptTokens < 0 || maxOutputTokens < 0) {
			throw new IllegalArgumentException("Deadline and token counts of a request must not be negative");
		}
	}

	/**
	 * Returns the attributes by which the request may crash endpoints.
	 * @return the whole request and the parts of its prompt
	 */
	List<RequestAttribute> attributes() {
		List<RequestAttribute> attributes = new ArrayList<>(this.promptParts.size() + 1);
		attributes.add(RequestAttribute.ofRequest(this.fingerprint));
		this.promptParts.forEach((part) -> attributes.add(RequestAttribute.ofPromptPart(part)));
		return attributes;
	}

}
