package io.mulberrylift.gateway.caller;

import java.util.Objects;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A caller's request, read whole and kept until its final answer.
 *
 * @param method method
 * @param target path and query as received
 * @param headers headers as received
 * @param body whole body
 * @param head what the headers say
 */
public record BufferedRequest(HttpMethod method, String target, HttpHeaders headers, byte[] body, RequestHead head) {

	/**
	 * Creates the request.
	 */
	public BufferedRequest {
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(target, "target");
		Objects.requireNonNull(headers, "headers");
		Objects.requireNonNull(body, "body");
		Objects.requireNonNull(head, "head");
	}

}
