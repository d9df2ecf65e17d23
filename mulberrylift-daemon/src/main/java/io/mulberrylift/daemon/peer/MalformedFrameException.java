package io.mulberrylift.daemon.peer;

import java.io.IOException;

/**
 * Says that a frame is not as the protocol says.
 */
class MalformedFrameException extends IOException {

	MalformedFrameException(String message) {
		super(message);
	}

	MalformedFrameException(String message, Throwable cause) {
		super(message, cause);
	}

}
