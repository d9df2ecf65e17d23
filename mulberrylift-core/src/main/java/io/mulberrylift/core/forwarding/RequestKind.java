package io.mulberrylift.core.forwarding;

/**
 * Whether requests of a route may be repeated and how their answers are delivered.
 */
public enum RequestKind {

	/** May run any number of times; answered with a single body. */
	IDEMPOTENT(true, false),

	/** Must run at most once; answered with a single body. */
	NON_IDEMPOTENT(false, false),

	/** Must run at most once; answered with an event stream. */
	STREAM(false, true),

	/** Answered with an event stream that another endpoint may continue. */
	RESUMABLE_STREAM(true, true);

	private final boolean repeatable;

	private final boolean stream;

	RequestKind(boolean repeatable, boolean stream) {
		this.repeatable = repeatable;
		this.stream = stream;
	}

	/**
	 * Returns whether a request that may have run may be sent again.
	 * @return true if it may be repeated
	 */
	public boolean isRepeatable() {
		return this.repeatable;
	}

	/**
	 * Returns whether the answer is an event stream.
	 * @return false if it is a single body
	 */
	public boolean isStream() {
		return this.stream;
	}

}
