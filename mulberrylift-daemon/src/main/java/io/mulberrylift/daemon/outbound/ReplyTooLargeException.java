package io.mulberrylift.daemon.outbound;

import java.io.IOException;

/**
 * Thrown when a response exceeds the size limit of an outbound call.
 */
public class ReplyTooLargeException extends IOException {

	/**
	 * Creates the exception.
	 * @param limitBytes size limit in bytes
	 */
	public ReplyTooLargeException(int limitBytes) {
		super("Response is larger than " + limitBytes + " bytes; reduce the size of the server's response");
	}

}
