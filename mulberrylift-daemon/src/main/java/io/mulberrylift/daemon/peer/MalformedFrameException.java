package io.mulberrylift.daemon.peer;

import java.io.IOException;

/**
 * Thrown when a frame violates the peer protocol.
 */
class MalformedFrameException extends IOException {

	MalformedFrameException(String message) {
		super(message);
	}

	MalformedFrameException(String message, Throwable cause) {
		super(message, cause);
	}

}
