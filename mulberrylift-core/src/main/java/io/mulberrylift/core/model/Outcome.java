package io.mulberrylift.core.model;

/**
 * What is known about a request that ended without a whole answer.
 */
public enum Outcome {

	/** No endpoint received the request, neither in this send nor in an earlier one. */
	NOT_RUN("not-run"),

	/** An endpoint ran the request, or part of it, and gave no whole answer. */
	FAILED("failed"),

	/** The request may have run. */
	UNKNOWN("unknown"),

	/** The deadline passed. The request may have run in part. */
	EXPIRED("expired");

	private final String label;

	Outcome(String label) {
		this.label = label;
	}

	/**
	 * Returns the name used towards callers.
	 * @return the lower-case name
	 */
	public String label() {
		return this.label;
	}

}
