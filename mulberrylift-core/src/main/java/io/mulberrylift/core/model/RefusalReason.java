package io.mulberrylift.core.model;

/**
 * The typed reasons for which a request ends without a complete answer. Each has the HTTP
 * status and the remedy that are returned to the caller.
 */
public enum RefusalReason {

	/** The request is malformed. */
	BAD_REQUEST(400, "Correct the named field and send the request again."),

	/** The workspace's credential is missing or wrong. */
	UNAUTHORIZED(401, "Send the workspace's credential."),

	/** The profile is not configured. */
	UNKNOWN_PROFILE(400, "Use a configured profile or ask an operator to publish it."),

	/** The workspace is not configured. */
	UNKNOWN_WORKSPACE(400, "Use a configured workspace or ask an operator to publish it."),

	/** The model or service is not configured. */
	UNKNOWN_TARGET(404, "Use a configured model or service or ask an operator to publish it."),

	/** The body did not arrive within the allowed time. */
	BODY_TIMEOUT(408, "Send the whole body within the allowed time."),

	/** The body is larger than allowed. */
	BODY_TOO_LARGE(413, "Send a smaller body."),

	/** The prompt does not fit into the memory of the engines that may run it. */
	PROMPT_TOO_LONG(422, "Shorten the prompt or ask for fewer output tokens."),

	/** The request cannot finish before its deadline. */
	DEADLINE_UNREACHABLE(503, "Come back after the given time or allow a later deadline."),

	/** The queue is full or the workspace has used up its share. */
	OVERLOADED(429, "Come back after the given time."),

	/** No endpoint can currently accept the request. */
	NO_ENDPOINT(503, "Come back after the given time."),

	/** This instance is shutting down. */
	SHUTTING_DOWN(503, "Send the request again; another instance will take it."),

	/** The configuration or the instance list has not been read yet. */
	NOT_READY(503, "Come back after the given time."),

	/** The profile requires an idempotency key. */
	KEY_REQUIRED(400, "Send an Idempotency-Key, a UUID of version 7 created at the first send."),

	/** The key was already used with a different request. */
	KEY_REUSED(422, "Use a new key for a new request."),

	/**
	 * The key is older than the idempotency window or its first-sent time lies in the
	 * future.
	 */
	KEY_OUT_OF_WINDOW(422, "Check what became of the request, then use a new key."),

	/** Another send with the same key is in progress. */
	KEY_IN_PROGRESS(409, "Come back after the given time for the answer of the running send."),

	/** The witness seats could not confirm that the key is new. */
	KEY_UNPROVED(503, "Come back after the given time with the same key."),

	/**
	 * The key was first sent before the time from which the witness seats have complete
	 * records.
	 */
	KEY_BEFORE_MEMORY(409, "Check what became of the request before sending it under a new key."),

	/** An earlier send with the same key may have run and its answer is not available. */
	ANSWER_LOST(409, "Check what became of the request before sending it under a new key."),

	/** The request has crashed endpoints and is quarantined. */
	CRASHES_ENDPOINTS(422, "Do not send this request again; report it to the operators."),

	/** The endpoint was lost while it ran the request. */
	ENDPOINT_LOST(502, "Check what became of the request; send it again if it may run twice."),

	/** The endpoint rejected the request as invalid. */
	ENDPOINT_REJECTED(502, "Correct the request as the detail says."),

	/** The answer ended prematurely. */
	ANSWER_TRUNCATED(502, "Send the request again if it may run twice."),

	/** The deadline passed. */
	DEADLINE_PASSED(504, "Allow a later deadline or come back when load is lower."),

	/** The caller closed the connection. */
	CALLER_GONE(499, "Keep the connection open until the last event."),

	/** An internal error. */
	INTERNAL(500, "Report the request to the operators.");

	private final int httpStatus;

	private final String remedy;

	RefusalReason(int httpStatus, String remedy) {
		this.httpStatus = httpStatus;
		this.remedy = remedy;
	}

	/**
	 * Returns the HTTP status of a request that is refused for this reason.
	 * @return the status code
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns what the caller can do about the refusal.
	 * @return one sentence, part of the problem document
	 */
	public String remedy() {
		return this.remedy;
	}

	/**
	 * Returns the name under which callers see the reason.
	 * @return the name in lower case with hyphens
	 */
	public String label() {
		return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
	}

}
