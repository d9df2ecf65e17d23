package io.mulberrylift.core.forwarding;

/**
 * Cause of a final answer that does not come from an endpoint, with its HTTP status.
 */
public enum RefusalCause {

	/** No configuration or endpoint list has been read yet. */
	NOT_READY(503),

	/** No route matches the host and path. */
	UNKNOWN_ROUTE(404),

	/** The API key is missing or unknown. */
	UNKNOWN_KEY(401),

	/** No endpoint of the service is currently available. */
	NO_ENDPOINT(503),

	/** The service does not have the capacity to answer in time. */
	OVERLOADED(503),

	/** All endpoints of the service have named limits that are used up. */
	ENDPOINTS_LIMITED(503),

	/** All endpoints of the service want no requests for a time. */
	ENDPOINTS_BACKING_OFF(503),

	/** Every endpoint that was tried reported that it did not run the request. */
	NOT_RUN(503),

	/** The same request has crashed several endpoints. */
	ISOLATED(503),

	/** The instance is shutting down. */
	SHUTTING_DOWN(503),

	/** The deadline passed before an endpoint may have run the request. */
	EXPIRED_NOT_RUN(503),

	/** The deadline passed while an endpoint may be running the request. */
	EXPIRED(504),

	/** The endpoint failed after it may have run the request. */
	FAILED(502);

	private final int status;

	RefusalCause(int status) {
		this.status = status;
	}

	/**
	 * Returns the HTTP status of the answer. 429 and 503 promise that the request has not
	 * run and will not run.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns whether the caller may retry the request later.
	 * @return true if the answer contains a time after which to retry
	 */
	public boolean isRetryable() {
		return this.status == 503;
	}

}
