package io.mulberrylift.daemon.endpoint;

import java.io.IOException;

/**
 * Says that an endpoint's answer is not as the contract says.
 */
class MalformedAnswerException extends IOException {

	MalformedAnswerException(String message) {
		super(message);
	}

	MalformedAnswerException(String message, Throwable cause) {
		super(message, cause);
	}

}
