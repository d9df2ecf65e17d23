package io.mulberrylift.core.isolation;

/**
 * How a request may run in view of the endpoints lost while it ran.
 */
public enum CrashClassification {

	/** No endpoint was lost while it ran. */
	CLEAR,

	/** An endpoint was lost while it ran; it may run once more, alone. */
	SUSPECTED,

	/** It crashes endpoints and must not run. */
	CONVICTED

}
