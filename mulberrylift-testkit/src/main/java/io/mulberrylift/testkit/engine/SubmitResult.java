package io.mulberrylift.testkit.engine;

/**
 * Whether a model took a request.
 */
public enum SubmitResult {

	/** The request waits or runs. */
	ACCEPTED,

	/** A request with this identity waits or runs. */
	DUPLICATE,

	/** The request can never fit the engine's memory or its holds. */
	TOO_LARGE,

	/** The engine's own hold is unknown, released or in use by another request. */
	HOLD_MISSING

}
