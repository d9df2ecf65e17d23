package io.mulberrylift.core.forwarding;

/**
 * Outcome of an attempt at an endpoint.
 */
public enum AttemptOutcome {

	/** A complete answer was received and is passed on. */
	COMPLETED(true, false, false),

	/**
	 * An answer was received that ended with its connection. It is passed on, but an
	 * endpoint that crashes may end its answer in the same way.
	 */
	COMPLETED_AT_CLOSE(true, false, false),

	/**
	 * An answer was received that reports a failure of the endpoint, or that does not
	 * continue the stream which the attempt was to resume.
	 */
	ENDPOINT_ERROR(true, false, true),

	/**
	 * The endpoint reported that it did not run the request because it has no capacity.
	 */
	REFUSED_FULL(false, false, false),

	/**
	 * The endpoint reported that it did not run the request because the request is
	 * invalid, or the request was not sent because it exceeds a limit of the endpoint or
	 * its stream cannot be resumed. Other endpoints would reject it as well.
	 */
	REJECTED(false, false, false),

	/** The endpoint reported that it is a different process from the expected one. */
	MISDIRECTED(false, false, true),

	/** No connection was established, so nothing was sent. */
	NOT_CONNECTED(false, false, true),

	/** The connection closed before any part of an answer was received. */
	BROKEN(true, true, true),

	/** The connection closed within an answer. */
	BROKEN_MIDWAY(true, true, true),

	/**
	 * The endpoint failed a request that may run only once with a status by which callers
	 * take it as not run, and did not state that.
	 */
	FALSE_PROMISE(true, false, true),

	/** The endpoint sent bytes that are not a valid answer to this request. */
	GARBLED(true, false, false),

	/** The endpoint sent more bytes than an answer or its head may have. */
	OVERSIZED(true, false, true),

	/** No bytes were received within the stall timeout. */
	SILENT(true, false, true);

	private final boolean mayHaveRun;

	private final boolean mayHaveCrashedEndpoint;

	private final boolean endpointFault;

	AttemptOutcome(boolean mayHaveRun, boolean mayHaveCrashedEndpoint, boolean endpointFault) {
		this.mayHaveRun = mayHaveRun;
		this.mayHaveCrashedEndpoint = mayHaveCrashedEndpoint;
		this.endpointFault = endpointFault;
	}

	/**
	 * Returns whether the answer is passed on to the caller as a success.
	 * @return true if it was received to its end
	 */
	public boolean isCompleted() {
		return this == COMPLETED || this == COMPLETED_AT_CLOSE;
	}

	/**
	 * Returns whether the endpoint may have run the request.
	 * @return false if it is certain that the endpoint did not run it
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * Returns whether the request may have crashed the endpoint.
	 * @return true if the connection was lost during the attempt
	 */
	public boolean mayHaveCrashedEndpoint() {
		return this.mayHaveCrashedEndpoint;
	}

	/**
	 * Returns whether no answer was received from the endpoint at the end of the attempt,
	 * which its link may be the cause of.
	 * @return true if the endpoint was not reached or its connection was lost
	 */
	public boolean isUnanswered() {
		return this == NOT_CONNECTED || this == BROKEN || this == BROKEN_MIDWAY || this == SILENT;
	}

	/**
	 * Returns whether the outcome raises the failure rate of the endpoint.
	 * @return true if it counts as a failure
	 */
	public boolean isEndpointFault() {
		return this.endpointFault;
	}

}
