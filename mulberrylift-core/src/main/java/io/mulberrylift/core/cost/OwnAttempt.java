package io.mulberrylift.core.cost;

/**
 * An attempt of this instance that is in progress.
 *
 * <p>
 * Not thread-safe. Endpoints start requests in the order in which they receive them.
 * </p>
 */
final class OwnAttempt {

	private final int endpointHash;

	private final CostSubject subject;

	private final long sentMillis;

	private final CompletionEstimate estimate;

	/** When fewer earlier attempts than slots were left; the maximum until then. */
	private long releasedMillis = Long.MAX_VALUE;

	/**
	 * Creates the attempt.
	 * @param endpointHash hash of the endpoint
	 * @param subject what its duration is learned for
	 * @param sentMillis when it was sent
	 * @param estimate what was expected then
	 */
	OwnAttempt(int endpointHash, CostSubject subject, long sentMillis, CompletionEstimate estimate) {
		this.endpointHash = endpointHash;
		this.subject = subject;
		this.sentMillis = sentMillis;
		this.estimate = estimate;
	}

	int endpointHash() {
		return this.endpointHash;
	}

	CostSubject subject() {
		return this.subject;
	}

	long sentMillis() {
		return this.sentMillis;
	}

	CompletionEstimate estimate() {
		return this.estimate;
	}

	/**
	 * Records that fewer earlier attempts of this instance than slots are left.
	 * @param nowMillis the current time
	 */
	void release(long nowMillis) {
		this.releasedMillis = Math.min(this.releasedMillis, nowMillis);
	}

	/**
	 * Returns for how long the attempt has been running.
	 * @param nowMillis the current time
	 * @return the time in milliseconds, 0 while it is expected to wait for a slot
	 */
	double runningMillis(long nowMillis) {
		double startMillis = Math.max(this.sentMillis + this.estimate.waitMillis(), this.releasedMillis);
		return Math.max(0, nowMillis - startMillis);
	}

}
