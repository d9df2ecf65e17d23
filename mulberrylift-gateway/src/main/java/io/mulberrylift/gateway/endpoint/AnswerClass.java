package io.mulberrylift.gateway.endpoint;

/**
 * Meaning of an answer's head for the request that is pending on its connection.
 */
public enum AnswerClass {

	/** The answer belongs to another request. */
	OTHER_REQUEST,

	/** The endpoint states that it did not run the request. */
	NOT_RUN,

	/**
	 * The endpoint states that it did not run the request because the request is invalid.
	 */
	REJECTED,

	/**
	 * The endpoint states that it is not the process that the request is addressed to.
	 */
	MISDIRECTED,

	/** The answer is forwarded to the caller. */
	VALID,

	/** The endpoint failed; the answer is forwarded if no other attempt follows. */
	FAILURE,

	/**
	 * The status tells callers that a request has not run which may run only once, but
	 * the endpoint does not state it.
	 */
	FALSE_PROMISE,

	/** The answer is not a valid answer of the endpoint. */
	INVALID;

	/**
	 * Returns whether the answer is one of the endpoint that the request was sent to.
	 * @return false if it is invalid or comes from another process or another request
	 */
	boolean isFromExpectedEndpoint() {
		return this != OTHER_REQUEST && this != MISDIRECTED && this != INVALID;
	}

}
