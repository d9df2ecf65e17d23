package io.mulberrylift.core.scheduling;

/**
 * Work that a request sent by this instance still causes on its endpoint.
 *
 * <p>
 * Not thread-safe; owned by the scheduler.
 * </p>
 */
final class RunningWork {

	private final PendingRequest request;

	private final Assignment assignment;

	private final int prefillTokens;

	private final boolean duringLongPrefill;

	private final long dispatchedMonotonicMillis;

	private boolean firstTokenSeen;

	RunningWork(PendingRequest request, Assignment assignment, int prefillTokens, boolean duringLongPrefill,
			long dispatchedMonotonicMillis) {
		this.request = request;
		this.assignment = assignment;
		this.prefillTokens = prefillTokens;
		this.duringLongPrefill = duringLongPrefill;
		this.dispatchedMonotonicMillis = dispatchedMonotonicMillis;
	}

	PendingRequest request() {
		return this.request;
	}

	Assignment assignment() {
		return this.assignment;
	}

	/**
	 * Returns the prompt tokens that were not expected to be cached at dispatch.
	 * @return number of tokens
	 */
	int prefillTokens() {
		return this.prefillTokens;
	}

	/**
	 * Returns whether the endpoint was processing a long prompt at dispatch.
	 * @return {@code true} if its prefill backlog was above
	 * {@link Prediction#LONG_BACKLOG_TOKENS}
	 */
	boolean duringLongPrefill() {
		return this.duringLongPrefill;
	}

	long dispatchedMonotonicMillis() {
		return this.dispatchedMonotonicMillis;
	}

	void firstTokenReceived() {
		this.firstTokenSeen = true;
	}

	boolean prefilling() {
		return !this.firstTokenSeen;
	}

	/**
	 * Returns the prompt tokens still to be processed: all of them until the first token,
	 * then none.
	 * @return number of tokens
	 */
	int pendingPrefillTokens() {
		return this.firstTokenSeen ? 0 : this.prefillTokens;
	}

	/**
	 * Returns the KV cache memory that the work uses on the endpoint.
	 * @return number of tokens
	 */
	long memoryTokens() {
		return this.assignment.members().isEmpty() ? this.request.spec().totalTokens() : this.assignment.memberTokens();
	}

}
