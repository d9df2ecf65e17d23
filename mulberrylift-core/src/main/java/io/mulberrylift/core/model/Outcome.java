package io.mulberrylift.core.model;

/**
 * What is known about the execution of a request that ended without a complete answer.
 */
public enum Outcome {

	/** No endpoint received the request, neither in this send nor in an earlier one. */
	NOT_RUN("not-run"),

	/**
	 * An endpoint ran the request, entirely or in part, and did not return a complete
	 * answer.
	 */
	FAILED("failed"),

	/** It is not known whether the request ran. */
	UNKNOWN("unknown"),

	/** The deadline passed; the request may have run, entirely or in part. */
	EXPIRED("expired");

	private final String label;

	Outcome(String label) {
		this.label = label;
	}

	/**
	 * Returns the name under which callers see the outcome.
	 * @return the name in lower case with hyphens
	 */
	public String label() {
		return this.label;
	}

}
