package io.mulberrylift.core.model;

/**
 * The typed reasons for which a request ends without a whole answer. Each names the HTTP
 * status and the remedy that the caller is given.
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

	/** The body did not arrive in time. */
	BODY_TIMEOUT(408, "Send the whole body within the allowed time."),

	/** The body is larger than allowed. */
	BODY_TOO_LARGE(413, "Send a smaller body."),

	/** The prompt does not fit the memory of the engines that may run it. */
	PROMPT_TOO_LONG(422, "Shorten the prompt or ask for fewer output tokens."),

	/** The work cannot finish within the deadline. */
	DEADLINE_UNREACHABLE(503, "Come back after the given time or allow a later deadline."),

	/** The queue or the workspace's share is full. */
	OVERLOADED(429, "Come back after the given time."),

	/** No endpoint can take the work now. */
	NO_ENDPOINT(503, "Come back after the given time."),

	/** This instance is shutting down. */
	SHUTTING_DOWN(503, "Send the request again; another instance will take it."),

	/** The configuration has not been read yet. */
	NOT_READY(503, "Come back after the given time."),

	/** The profile requires an idempotency key. */
	KEY_REQUIRED(400, "Send an Idempotency-Key, a UUID of version 7 created at the first send."),

	/** The key was used with another request. */
	KEY_REUSED(422, "Use a new key for a new request."),

	/** The key is older than the promise window or its time lies in the future. */
	KEY_OUT_OF_WINDOW(422, "Check what became of the request, then use a new key."),

	/** Another send with the same key is running. */
	KEY_IN_PROGRESS(409, "Come back after the given time for the answer of the running send."),

	/** The key cannot be shown to be new. */
	KEY_UNPROVED(503, "Come back after the given time with the same key."),

	/** The key's first send lies before the witnesses' memory begins. */
	KEY_BEFORE_MEMORY(409, "Check what became of the request before sending it under a new key."),

	/** An earlier send with the same key may have run and its answer is not known. */
	ANSWER_LOST(409, "Check what became of the request before sending it under a new key."),

	/** The request has crashed endpoints. */
	CRASHES_ENDPOINTS(422, "Do not send this request again; report it to the operators."),

	/** The endpoint was lost while it ran the request. */
	ENDPOINT_LOST(502, "Check what became of the request; send it again if it may run twice."),

	/** The endpoint refused the request as faulty. */
	ENDPOINT_REJECTED(502, "Correct the request as the detail says."),

	/** The answer ended early. */
	ANSWER_TRUNCATED(502, "Send the request again if it may run twice."),

	/** The deadline passed. */
	DEADLINE_PASSED(504, "Allow a later deadline or come back when load is lower."),

	/** The caller closed the connection. */
	CALLER_GONE(499, "Keep the connection open until the last event."),

	/** A fault of this system. */
	INTERNAL(500, "Report the request to the operators.");

	private final int httpStatus;

	private final String remedy;

	RefusalReason(int httpStatus, String remedy) {
		this.httpStatus = httpStatus;
		this.remedy = remedy;
	}

	/**
	 * Returns the HTTP status for the reason.
	 * @return the status code
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns what the caller can do about it.
	 * @return one sentence
	 */
	public String remedy() {
		return this.remedy;
	}

	/**
	 * Returns the name used towards callers.
	 * @return the lower-case name with hyphens
	 */
	public String label() {
		return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
	}

}
