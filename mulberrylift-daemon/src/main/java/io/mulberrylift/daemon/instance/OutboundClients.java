package io.mulberrylift.daemon.instance;

import io.mulberrylift.daemon.outbound.OutboundHttpClient;

/**
 * HTTP clients for endpoints and the platform. Control calls use separate connections and
 * threads, so that they are not blocked while many answers are streamed.
 *
 * @param requests client for callers' requests
 * @param control client for short control calls
 */
record OutboundClients(OutboundHttpClient requests, OutboundHttpClient control) implements AutoCloseable {

	@Override
	public void close() {
		this.requests.close();
		this.control.close();
	}

}
