package io.mulberrylift.core.model;

/**
 * Reasons for which an attempt to run a request on an endpoint can fail.
 */
public enum AttemptFailure {

	/** No byte of the request left this process. */
	NOT_SENT(false, true),

	/**
	 * The endpoint answered that it did not start the request, for example because it is
	 * busy.
	 */
	TURNED_AWAY(false, true),

	/** The endpoint answered that it is draining and did not start the request. */
	DRAINING(false, true),

	/** The endpoint answered that the request itself is invalid. */
	REJECTED(false, false),

	/**
	 * The connection broke after bytes had been sent and before the answer was complete.
	 */
	CONNECTION_LOST(true, true),

	/** The endpoint sent nothing for longer than allowed. */
	RESPONSE_TIMEOUT(true, true),

	/** The answer ended without its explicit end marker or with a gap. */
	TRUNCATED(true, true),

	/** The endpoint answered with an internal error. */
	ENDPOINT_ERROR(true, true);

	private final boolean mayHaveRun;

	private final boolean retryable;

	AttemptFailure(boolean possiblyRan, boolean retryHelps) {
		this.mayHaveRun = possiblyRan;
		this.retryable = retryHelps;
	}

	/**
	 * Returns whether the endpoint may have run the request.
	 * @return false only if it is certain that nothing ran
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * Returns whether another attempt may succeed.
	 * @return true if the request may be retried
	 */
	public boolean retryable() {
		return this.retryable;
	}

}
