package io.mulberrylift.daemon.instance;

import io.mulberrylift.daemon.outbound.OutboundHttpClient;

/**
 * The clients towards endpoints and platform. Control calls have connections and threads
 * of their own, so that they get through while many answers stream.
 *
 * @param requests carries callers' requests
 * @param control carries short control calls
 */
record OutboundClients(OutboundHttpClient requests, OutboundHttpClient control) implements AutoCloseable {

	@Override
	public void close() {
		this.requests.close();
		this.control.close();
	}

}
