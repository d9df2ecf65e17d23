package io.mulberrylift.testkit.history;

/**
 * Outcome of a send as seen by its caller.
 */
public enum AnswerResult {

	/** The complete answer was received. */
	WHOLE,

	/** The request was refused without having been executed. */
	NOT_RUN,

	/** The request was executed but produced no complete answer. */
	FAILED,

	/** It is unknown whether the request was executed. */
	UNKNOWN,

	/** The deadline passed before the request completed. */
	EXPIRED

}
