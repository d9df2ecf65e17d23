package io.mulberrylift.gateway.caller;

import java.util.Objects;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A caller's request, received completely and kept until it is answered, so that it can
 * be sent to an endpoint more than once.
 *
 * @param method the HTTP method
 * @param target path and query as received
 * @param headers headers as received
 * @param body complete body
 * @param head decoded head
 */
public record BufferedRequest(HttpMethod method, String target, HttpHeaders headers, byte[] body, RequestHead head) {

	public BufferedRequest {
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(target, "target");
		Objects.requireNonNull(headers, "headers");
		Objects.requireNonNull(body, "body");
		Objects.requireNonNull(head, "head");
	}

}
