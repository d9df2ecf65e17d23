package io.mulberrylift.gateway.endpoint;

import java.util.Objects;

/**
 * A control call to an endpoint, sent as a POST request.
 *
 * @param target path and query
 * @param body body as JSON
 */
public record EndpointCall(String target, byte[] body) {

	public EndpointCall {
		Objects.requireNonNull(target, "target");
		Objects.requireNonNull(body, "body");
	}

}
