package io.mulberrylift.core.memory;

import java.util.List;

import io.mulberrylift.core.effect.AttemptEffect;

/**
 * What became of a reservation.
 */
public sealed interface ReservationOutcome {

	/**
	 * Returns the request.
	 * @return identity of the send
	 */
	long requestId();

	/**
	 * All members granted their hold.
	 *
	 * @param requestId the request
	 * @param holds the holds, the running engine's own first
	 */
	record Reserved(long requestId, List<AttemptEffect.MemberHold> holds) implements ReservationOutcome {

		/**
		 * Creates the outcome.
		 */
		public Reserved {
			holds = List.copyOf(holds);
		}

	}

	/**
	 * A member refused or did not answer. What had been granted is being given back.
	 *
	 * @param requestId the request
	 */
	record Unavailable(long requestId) implements ReservationOutcome {
	}

}
