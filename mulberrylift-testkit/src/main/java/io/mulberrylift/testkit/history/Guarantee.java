package io.mulberrylift.testkit.history;

/**
 * Guarantees of the system that {@link HistoryChecker} checks.
 */
public enum Guarantee {

	/** An answer is complete and belongs to the request of its caller. */
	WHOLE_OWN_ANSWER,

	/** A non-idempotent request is executed at most once. */
	AT_MOST_ONCE,

	/** A request refused as not run was not executed. */
	NOT_RUN_IS_TRUE,

	/** Each request is answered by its deadline. */
	ANSWERED_BY_DEADLINE,

	/** All memory reserved by holds is eventually released. */
	HOLDS_RETURN,

	/** An endpoint marked as leaving soon stops receiving new work. */
	LEAVING_GETS_NO_NEW_WORK,

	/** An instance never returns to an older configuration version. */
	CONFIGURATION_NEVER_REVERTS

}
