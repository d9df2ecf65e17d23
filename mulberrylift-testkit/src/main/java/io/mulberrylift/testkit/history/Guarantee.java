package io.mulberrylift.testkit.history;

/**
 * What the checker judges.
 */
public enum Guarantee {

	/** Each caller gets the whole answer to its own request and nobody else's. */
	WHOLE_OWN_ANSWER,

	/** A non-idempotent request runs at most once. */
	AT_MOST_ONCE,

	/** A request refused as not run did not run. */
	NOT_RUN_IS_TRUE,

	/** Each request is answered by its deadline. */
	ANSWERED_BY_DEADLINE,

	/** No engine loses memory for good. */
	HOLDS_RETURN,

	/** A leaving endpoint stops receiving new work. */
	LEAVING_GETS_NO_NEW_WORK,

	/** A configuration that was in force does not revert. */
	CONFIGURATION_NEVER_REVERTS

}
