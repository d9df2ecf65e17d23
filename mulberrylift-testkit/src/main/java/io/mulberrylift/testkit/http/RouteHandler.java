package io.mulberrylift.testkit.http;

import java.io.IOException;

/**
 * Answers the requests of one route. Called by the server's threads, several at once.
 */
@FunctionalInterface
public interface RouteHandler {

	/**
	 * Answers a request now, or keeps the exchange to answer it later.
	 * @param exchange the request and its answer
	 * @throws IOException if the body cannot be read or is not of the expected form
	 */
	void handle(Exchange exchange) throws IOException;

}
