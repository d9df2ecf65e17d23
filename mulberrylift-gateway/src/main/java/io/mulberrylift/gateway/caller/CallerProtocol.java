package io.mulberrylift.gateway.caller;

import io.netty.handler.codec.http.HttpRequest;

/**
 * Reads what a deployment's callers send. Implementations are stateless.
 */
public interface CallerProtocol {

	/**
	 * Reads the head of a request.
	 * @param request the head as received
	 * @return what it says
	 * @throws BadRequestException if a needed header is missing or malformed
	 */
	RequestHead readHead(HttpRequest request) throws BadRequestException;

}
