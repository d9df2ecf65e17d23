package io.mulberrylift.core.scheduling;

import java.util.List;
import java.util.Objects;

import io.mulberrylift.core.model.EndpointId;

/**
 * Assignment of a request to an endpoint.
 *
 * @param requestId the request
 * @param endpoint the endpoint that runs the request
 * @param members the gang of engines that hold memory for the request, the endpoint
 * first, if the memory of one engine does not suffice; empty otherwise
 * @param memberTokens KV cache memory to hold on each member, in tokens, 0 without
 * members
 * @param priority priority on the engine, higher runs first
 */
public record Assignment(long requestId, EndpointId endpoint, List<EndpointId> members, long memberTokens,
		int priority) {

	/**
	 * Creates the assignment.
	 * @throws NullPointerException if a reference is null
	 */
	public Assignment {
		Objects.requireNonNull(endpoint, "endpoint");
		members = List.copyOf(members);
	}

}
