package io.mulberrylift.gateway.http;

import java.util.Objects;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Outcome of an HTTP call.
 *
 * @param status the HTTP status of the answer, 0 if none was received
 * @param headers headers of the answer, empty if none was received
 * @param body body of the answer, empty if none was received
 * @param problem why no answer was received, empty if one was
 */
public record CallResult(int status, HttpHeaders headers, byte[] body, String problem) {

	public CallResult {
		Objects.requireNonNull(headers, "headers");
		Objects.requireNonNull(body, "body");
		Objects.requireNonNull(problem, "problem");
	}

	/**
	 * Creates the result of a call that received no answer.
	 * @param problem the reason
	 * @return the result
	 */
	public static CallResult failed(String problem) {
		return new CallResult(0, EmptyHttpHeaders.INSTANCE, new byte[0], problem);
	}

	/**
	 * Returns whether an answer was received, whatever its status.
	 * @return {@code true} if an answer was received
	 */
	public boolean isAnswered() {
		return this.status != 0;
	}

}
