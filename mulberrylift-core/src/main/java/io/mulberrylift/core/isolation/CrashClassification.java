package io.mulberrylift.core.isolation;

/**
 * Classification of a request by the endpoints that were lost while running it.
 */
public enum CrashClassification {

	/** No endpoint was lost while running the request. */
	CLEAR,

	/**
	 * One endpoint was lost while running the request: a suspected poison request, which
	 * may run once more, on an endpoint without other suspects.
	 */
	SUSPECTED,

	/** Quarantined: the request crashes endpoints and must not run again. */
	CONVICTED

}
