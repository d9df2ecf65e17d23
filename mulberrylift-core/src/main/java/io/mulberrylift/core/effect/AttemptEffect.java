package io.mulberrylift.core.effect;

import java.util.List;

import io.mulberrylift.core.model.EndpointId;

/**
 * Effects of single tries of a request on an endpoint.
 */
public sealed interface AttemptEffect extends Effect {

	/**
	 * Returns the try.
	 * @return identity of the try, unique within the instance's incarnation
	 */
	long attemptId();

	/**
	 * Sends a request to an endpoint and passes its answer on to the caller.
	 *
	 * <p>
	 * The embedding process compares the clock with {@code notAfterMonotonicMillis} just
	 * before the first byte leaves and reports
	 * {@link io.mulberrylift.core.model.AttemptFailure#NOT_SENT} when it is too late.
	 * </p>
	 *
	 * @param attemptId the try
	 * @param requestId the request
	 * @param endpoint where to send it
	 * @param priority priority towards other work on the engine, higher goes first
	 * @param timeoutMillis time left until the deadline, in milliseconds
	 * @param resumeOffsetTokens number of output tokens that the caller already has
	 * @param notAfterMonotonicMillis latest time for the first byte to leave
	 * @param holds reserved memory that the request uses, the endpoint's own first; empty
	 * for none
	 */
	record Dispatch(long attemptId, long requestId, EndpointId endpoint, int priority, long timeoutMillis,
			int resumeOffsetTokens, long notAfterMonotonicMillis, List<MemberHold> holds) implements AttemptEffect {

		/**
		 * Creates the effect.
		 */
		public Dispatch {
			holds = List.copyOf(holds);
		}

	}

	/**
	 * Stops a try and frees what it uses at the endpoint. Its later events are ignored.
	 *
	 * @param attemptId the try
	 * @param endpoint where it runs
	 */
	record Cancel(long attemptId, EndpointId endpoint) implements AttemptEffect {
	}

	/**
	 * A hold that backs a try.
	 *
	 * @param endpoint the engine that granted the hold
	 * @param holdId the hold
	 */
	record MemberHold(EndpointId endpoint, long holdId) {
	}

}
