package io.mulberrylift.core.peer;

import java.util.Objects;

import io.mulberrylift.core.model.EndpointId;

/**
 * Reports that an endpoint was lost, or may have been lost, while it ran a request, which
 * makes the request a suspected poison request.
 *
 * @param fingerprint the request's fingerprint
 * @param endpoint the lost endpoint
 * @param endpointIncarnation incarnation of the lost endpoint
 * @param alone whether no other suspected request ran on the endpoint
 * @param confirmed whether the endpoint's process is known to have ended; false if only
 * the connection broke
 */
public record SuspectNotice(long fingerprint, EndpointId endpoint, long endpointIncarnation, boolean alone,
		boolean confirmed) implements PeerMessage {

	/**
	 * Creates the notice.
	 * @throws NullPointerException if the endpoint is null
	 */
	public SuspectNotice {
		Objects.requireNonNull(endpoint, "endpoint");
	}

}
