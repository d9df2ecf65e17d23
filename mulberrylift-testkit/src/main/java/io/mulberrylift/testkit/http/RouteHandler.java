package io.mulberrylift.testkit.http;

import java.io.IOException;

/**
 * Handles the requests of one route. Called concurrently by the server threads.
 */
@FunctionalInterface
public interface RouteHandler {

	/**
	 * Handles a request. The response may be sent after this method has returned.
	 * @param exchange the request and its response
	 * @throws IOException if the request body cannot be read or parsed
	 */
	void handle(Exchange exchange) throws IOException;

}
