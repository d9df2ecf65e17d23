package io.mulberrylift.core.memory;

import java.util.List;

import io.mulberrylift.core.effect.AttemptEffect;

/**
 * Outcome of a reservation.
 */
public sealed interface ReservationOutcome {

	/**
	 * Identifies the request.
	 * @return the request id, unique for each send
	 */
	long requestId();

	/**
	 * All members granted a hold.
	 *
	 * @param requestId the request
	 * @param holds the holds, starting with that of the engine that runs the request
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
	 * A member refused or did not answer. The granted holds are being released.
	 *
	 * @param requestId the request
	 */
	record Unavailable(long requestId) implements ReservationOutcome {
	}

}
