package io.mulberrylift.testkit.history;

/**
 * How a send ended for its caller.
 */
public enum AnswerResult {

	/** The whole answer arrived. */
	WHOLE,

	/** The request was refused and did not run. */
	NOT_RUN,

	/** The request ran and gave no whole answer. */
	FAILED,

	/** The request may have run. */
	UNKNOWN,

	/** The deadline passed. */
	EXPIRED

}
