package io.mulberrylift.daemon.endpoint;

import java.io.IOException;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.mulberrylift.core.model.AttemptFailure;

/**
 * The body of an engine's error response to an attempt.
 *
 * @param detail the engine's description of the error, empty when unknown
 * @param retryAfterMillis delay before a retry in milliseconds, null when unknown
 */
record ErrorReply(String detail, Long retryAfterMillis) {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private static final int STATUS_BAD_REQUEST = 400;

	private static final int STATUS_UNPROCESSABLE = 422;

	private static final int STATUS_TOO_MANY_REQUESTS = 429;

	private static final int STATUS_UNAVAILABLE = 503;

	ErrorReply {
		detail = (detail != null) ? detail : "";
	}

	/**
	 * Parses a body. The status alone determines the failure, so a malformed body is not
	 * an error and gives an empty reply.
	 * @param body the body, possibly truncated
	 * @return the parsed body
	 */
	static ErrorReply parse(byte[] body) {
		try {
			ErrorReply reply = MAPPER.readValue(body, ErrorReply.class);
			return (reply != null) ? reply : new ErrorReply("", null);
		}
		catch (IOException ex) {
			return new ErrorReply("", null);
		}
	}

	/**
	 * Maps a status other than 200 to the failure of an attempt.
	 * @param status the HTTP status
	 * @return the failure
	 */
	static AttemptFailure failureOf(int status) {
		return switch (status) {
			case STATUS_TOO_MANY_REQUESTS -> AttemptFailure.TURNED_AWAY;
			case STATUS_UNAVAILABLE -> AttemptFailure.DRAINING;
			case STATUS_BAD_REQUEST, STATUS_UNPROCESSABLE -> AttemptFailure.REJECTED;
			default -> AttemptFailure.ENDPOINT_ERROR;
		};
	}

	OptionalLong retryAfter() {
		return (this.retryAfterMillis != null) ? OptionalLong.of(this.retryAfterMillis) : OptionalLong.empty();
	}

}
