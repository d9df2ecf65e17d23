package io.mulberrylift.core.peer;

import java.util.Objects;

import io.mulberrylift.core.model.EndpointId;

/**
 * Says that an endpoint was lost while it ran a request.
 *
 * @param fingerprint the request's fingerprint
 * @param endpoint the lost endpoint
 * @param endpointIncarnation incarnation of the lost endpoint
 * @param alone whether no other request ran there
 */
public record SuspectNotice(long fingerprint, EndpointId endpoint, long endpointIncarnation,
		boolean alone) implements PeerMessage {

	/**
	 * Creates the notice.
	 * @throws NullPointerException if the endpoint is null
	 */
	public SuspectNotice {
		Objects.requireNonNull(endpoint, "endpoint");
	}

}
