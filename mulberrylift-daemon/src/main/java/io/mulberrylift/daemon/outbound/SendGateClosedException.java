package io.mulberrylift.daemon.outbound;

import java.io.IOException;

/**
 * Thrown when a request is not sent because its latest sending time has been exceeded or
 * it was cancelled.
 */
public class SendGateClosedException extends IOException {

	/**
	 * Creates the exception.
	 */
	public SendGateClosedException() {
		super("Request was not sent: its latest sending time has passed or it was cancelled; allow a later deadline");
	}

}
