package io.mulberrylift.core.scheduling;

/**
 * What a request that this instance has sent still costs its endpoint.
 *
 * <p>
 * Not safe for use by several threads; owned by the scheduler.
 * </p>
 */
final class RunningWork {

	private final PendingRequest request;

	private final Assignment assignment;

	private final int prefillTokens;

	private final boolean duringLongPrefill;

	private final long dispatchedMonotonicMillis;

	private boolean firstTokenSeen;

	RunningWork(PendingRequest request, Assignment assignment, int prefillTokens, boolean besideLong,
			long dispatchedMonotonicMillis) {
		this.request = request;
		this.assignment = assignment;
		this.prefillTokens = prefillTokens;
		this.duringLongPrefill = besideLong;
		this.dispatchedMonotonicMillis = dispatchedMonotonicMillis;
	}

	PendingRequest request() {
		return this.request;
	}

	Assignment assignment() {
		return this.assignment;
	}

	/**
	 * Returns the prompt tokens that were expected not to be cached at dispatch.
	 * @return number of tokens
	 */
	int prefillTokens() {
		return this.prefillTokens;
	}

	/**
	 * Returns whether a long prompt was being processed at dispatch.
	 * @return true if so
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
	 * Returns the prompt tokens still to be processed, whole until the first token.
	 * @return number of tokens
	 */
	int pendingPrefillTokens() {
		return this.firstTokenSeen ? 0 : this.prefillTokens;
	}

	/**
	 * Returns the memory that the work takes on the endpoint.
	 * @return number of tokens
	 */
	long memoryTokens() {
		return this.assignment.members().isEmpty() ? this.request.spec().totalTokens() : this.assignment.memberTokens();
	}

}
