package io.mulberrylift.core.memory;

import java.util.List;

import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.scheduling.Assignment;
import io.mulberrylift.core.time.Moment;

/**
 * Reserves memory on several engines for one request, all or nothing.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Every hold that may exist is tracked until its
 * engine confirms that it does not.
 * </p>
 */
public interface Reservations {

	/**
	 * Starts to reserve memory on all members of an assignment.
	 * @param assignment the assignment, with at least one member
	 * @param deadlineMonotonicMillis latest monotonic time for the end of the request, in
	 * milliseconds
	 * @param now the current time
	 * @param effects receives the calls to engines
	 */
	void reserve(Assignment assignment, long deadlineMonotonicMillis, Moment now, Effects effects);

	/**
	 * Releases all holds of a request. Does nothing if there are none.
	 * @param requestId the request
	 * @param now the current time
	 * @param effects receives the calls to engines
	 */
	void free(long requestId, Moment now, Effects effects);

	/**
	 * Returns and clears the outcomes since the last call.
	 * @return the outcomes in the order in which they were decided
	 */
	List<ReservationOutcome> takeOutcomes();

}
