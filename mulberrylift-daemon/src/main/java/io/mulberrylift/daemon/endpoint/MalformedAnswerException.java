package io.mulberrylift.daemon.endpoint;

import java.io.IOException;

/**
 * Thrown when an engine's answer violates the protocol.
 */
class MalformedAnswerException extends IOException {

	MalformedAnswerException(String message) {
		super(message);
	}

	MalformedAnswerException(String message, Throwable cause) {
		super(message, cause);
	}

}
