package io.mulberrylift.core.memory;

import java.util.List;

import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.scheduling.Assignment;
import io.mulberrylift.core.time.Moment;

/**
 * Reserves memory on several engines for one request, all or nothing.
 *
 * <p>
 * Owned by the reducer and not safe for use by several threads. Every hold that may exist
 * is remembered until its engine confirms that it does not.
 * </p>
 */
public interface Reservations {

	/**
	 * Starts to reserve memory on all members of an assignment.
	 * @param assignment the assignment, with members
	 * @param deadlineMonotonicMillis when the request must have ended
	 * @param now the current time
	 * @param effects takes the calls
	 */
	void reserve(Assignment assignment, long deadlineMonotonicMillis, Moment now, Effects effects);

	/**
	 * Gives back all that is reserved for a request. Does nothing when there is nothing.
	 * @param requestId the request
	 * @param now the current time
	 * @param effects takes the calls
	 */
	void free(long requestId, Moment now, Effects effects);

	/**
	 * Takes the outcomes since the last call.
	 * @return the outcomes in order
	 */
	List<ReservationOutcome> takeOutcomes();

}
