package io.mulberrylift.testkit.history;

/**
 * Tolerances that {@link HistoryChecker} applies to a history.
 *
 * @param deadlineGraceMillis how long after the deadline an answer may still reach its
 * caller
 * @param leavingLimitMillis how long an endpoint may receive new work after it was marked
 * as leaving
 * @param endEpochMillis when the history ends; a send without an answer is a violation
 * only if its deadline is not later
 */
public record CheckLimits(long deadlineGraceMillis, long leavingLimitMillis, long endEpochMillis) {

	/**
	 * Creates limits.
	 * @throws IllegalArgumentException if a duration is negative
	 */
	public CheckLimits {
		if (deadlineGraceMillis < 0 || leavingLimitMillis < 0) {
			throw new IllegalArgumentException("The deadline grace and the leaving limit must not be negative");
		}
	}

}
