package io.mulberrylift.core.forwarding;

/**
 * How an attempt at an endpoint ended.
 */
public enum AttemptOutcome {

	/** A whole answer that is passed on. */
	COMPLETED(true, false, false),

	/** A whole answer that states a failure of the endpoint. */
	ENDPOINT_ERROR(true, false, true),

	/** The endpoint states that it did not run the request: it has no room. */
	REFUSED_FULL(false, false, false),

	/** The endpoint states that it is another process than the one expected. */
	MISDIRECTED(false, false, true),

	/** No connection came about, so nothing was sent. */
	NOT_CONNECTED(false, false, true),

	/** The connection broke before an answer. */
	BROKEN(true, true, true),

	/** The connection broke within an answer. */
	BROKEN_MIDWAY(true, true, true),

	/** The endpoint sent bytes that are no answer to this request. */
	GARBLED(true, false, false),

	/** No byte came within the expected time. */
	SILENT(true, false, true);

	private final boolean possiblyRan;

	private final boolean possibleCrash;

	private final boolean endpointFault;

	AttemptOutcome(boolean possiblyRan, boolean possibleCrash, boolean endpointFault) {
		this.possiblyRan = possiblyRan;
		this.possibleCrash = possibleCrash;
		this.endpointFault = endpointFault;
	}

	/**
	 * Returns whether the endpoint may have run the request.
	 * @return true if so
	 */
	public boolean mayHaveRun() {
		return this.possiblyRan;
	}

	/**
	 * Returns whether the request may have crashed the endpoint.
	 * @return true if so
	 */
	public boolean mayHaveCrashedEndpoint() {
		return this.possibleCrash;
	}

	/**
	 * Returns whether the end counts against the endpoint when others are chosen.
	 * @return true if so
	 */
	public boolean isEndpointFault() {
		return this.endpointFault;
	}

}
