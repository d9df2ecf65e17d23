package io.mulberrylift.testkit.engine;

/**
 * Result of submitting a request to a timing model.
 */
public enum SubmitResult {

	/** The request was accepted and is waiting or running. */
	ACCEPTED,

	/** A request with the same id is already waiting or running. */
	DUPLICATE,

	/** The request does not fit into the engine's total memory or its holds. */
	TOO_LARGE,

	/** The hold on this engine is unknown, released or in use by another request. */
	HOLD_MISSING

}
