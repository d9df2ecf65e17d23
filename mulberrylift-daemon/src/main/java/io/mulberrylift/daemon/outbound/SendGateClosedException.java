package io.mulberrylift.daemon.outbound;

import java.io.IOException;

/**
 * Says that a request did not leave because it was too late or cancelled.
 */
public class SendGateClosedException extends IOException {

	/**
	 * Creates the exception.
	 */
	public SendGateClosedException() {
		super("Request was too late to leave; allow a later deadline");
	}

}
