package io.mulberrylift.core.scheduling;

import java.util.List;
import java.util.Objects;

import io.mulberrylift.core.model.EndpointId;

/**
 * The decision to run a request on an endpoint.
 *
 * @param requestId the request
 * @param endpoint where it runs
 * @param members all engines whose memory it needs, the endpoint first, when one engine's
 * memory does not suffice; empty otherwise
 * @param memberTokens KV memory to hold on each member, in tokens, 0 without members
 * @param priority priority on the engine, higher goes first
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
