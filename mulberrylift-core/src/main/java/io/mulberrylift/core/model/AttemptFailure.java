package io.mulberrylift.core.model;

/**
 * How one try of a request on an endpoint can fail.
 */
public enum AttemptFailure {

	/** No byte of the request left this process. */
	NOT_SENT(false, true),

	/** The endpoint answered that it did not start the request; it may be busy. */
	TURNED_AWAY(false, true),

	/** The endpoint answered that it is leaving and did not start the request. */
	DRAINING(false, true),

	/** The endpoint answered that the request itself is faulty. */
	REJECTED(false, false),

	/** The connection broke after bytes had left and before the whole answer came. */
	CONNECTION_LOST(true, true),

	/** The endpoint stayed silent for longer than allowed. */
	RESPONSE_TIMEOUT(true, true),

	/** The answer ended without its explicit end or with a gap. */
	TRUNCATED(true, true),

	/** The endpoint answered with an error of its own. */
	ENDPOINT_ERROR(true, true);

	private final boolean mayHaveRun;

	private final boolean retryable;

	AttemptFailure(boolean possiblyRan, boolean retryHelps) {
		this.mayHaveRun = possiblyRan;
		this.retryable = retryHelps;
	}

	/**
	 * Returns whether the endpoint may have run the request.
	 * @return false only when it is certain that nothing ran
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * Returns whether another try may give another result.
	 * @return true if so
	 */
	public boolean retryable() {
		return this.retryable;
	}

}
