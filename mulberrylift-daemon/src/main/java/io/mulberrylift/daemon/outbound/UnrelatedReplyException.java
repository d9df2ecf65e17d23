package io.mulberrylift.daemon.outbound;

import java.io.IOException;

/**
 * Thrown when a response is not known to answer its call, which may have run.
 */
public class UnrelatedReplyException extends IOException {

	/**
	 * Creates the exception.
	 */
	public UnrelatedReplyException() {
		super("Response does not name its call; let the server return the header " + OutboundHttpClient.CALL_HEADER);
	}

}
