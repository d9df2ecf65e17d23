package io.mulberrylift.testkit.history;

/**
 * Limits that a history is judged by.
 *
 * @param deadlineGraceMillis how much later than the deadline an answer may reach its
 * caller
 * @param leavingLimitMillis how long a leaving endpoint may receive new work
 * @param endEpochMillis when the history ends; deadlines after it are not judged for
 * sends without an answer
 */
public record CheckLimits(long deadlineGraceMillis, long leavingLimitMillis, long endEpochMillis) {

	/**
	 * Creates the limits.
	 * @throws IllegalArgumentException if a duration is negative
	 */
	public CheckLimits {
		if (deadlineGraceMillis < 0 || leavingLimitMillis < 0) {
			throw new IllegalArgumentException("The limits must not be negative");
		}
	}

}
