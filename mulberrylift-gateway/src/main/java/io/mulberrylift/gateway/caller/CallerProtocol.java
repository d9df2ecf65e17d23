package io.mulberrylift.gateway.caller;

import io.netty.handler.codec.http.HttpRequest;

/**
 * Decodes the request headers of a deployment's callers. Implementations are stateless.
 */
public interface CallerProtocol {

	/**
	 * Decodes the head of a request.
	 * @param request the head as received
	 * @return the decoded head
	 * @throws BadRequestException if a required header is missing or malformed
	 */
	RequestHead readHead(HttpRequest request) throws BadRequestException;

}
