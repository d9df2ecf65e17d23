package io.mulberrylift.daemon.outbound;

import java.io.IOException;

/**
 * Says that an answer is larger than the caller of an outbound call allows.
 */
public class ReplyTooLargeException extends IOException {

	/**
	 * Creates the exception.
	 * @param limitBytes greatest allowed size in bytes
	 */
	public ReplyTooLargeException(int limitBytes) {
		super("Answer is larger than " + limitBytes + " bytes; let the server send a smaller one");
	}

}
