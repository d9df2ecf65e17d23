package io.mulberrylift.gateway.endpoint;

import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.model.EndpointId;

/**
 * The head of an answer that was received where it answers no request that is waited for.
 *
 * @param endpoint the endpoint
 * @param connection number of the connection in this process
 * @param requestsOnConnection number of requests that the connection has carried
 * @param attempt the attempt that it was received before the answer of, empty if the
 * connection carried no request
 * @param status status code, 0 if the bytes are no whole head
 * @param namedRequest the caller's identifier of the request that it names, empty if it
 * names none
 * @param receipt what the endpoint states about the run that it answers for, empty if it
 * states nothing
 */
public record SkippedAnswer(EndpointId endpoint, long connection, int requestsOnConnection, Optional<Long> attempt,
		int status, Optional<String> namedRequest, Optional<String> receipt) {

	public SkippedAnswer {
		Objects.requireNonNull(endpoint, "endpoint");
		Objects.requireNonNull(attempt, "attempt");
		Objects.requireNonNull(namedRequest, "namedRequest");
		Objects.requireNonNull(receipt, "receipt");
	}

}
