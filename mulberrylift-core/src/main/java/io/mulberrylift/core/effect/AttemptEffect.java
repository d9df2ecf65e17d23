package io.mulberrylift.core.effect;

import java.util.List;

import io.mulberrylift.core.model.EndpointId;

/**
 * Effects that start or stop single attempts to run a request on an endpoint.
 */
public sealed interface AttemptEffect extends Effect {

	/**
	 * Returns the attempt to which the effect belongs.
	 * @return the identifier of the attempt, unique within the incarnation of the
	 * instance
	 */
	long attemptId();

	/**
	 * Sends a request to an endpoint and streams the answer to the caller.
	 *
	 * <p>
	 * The embedding process compares the clock with {@code notAfterMonotonicMillis}
	 * immediately before it sends the first byte, and reports
	 * {@link io.mulberrylift.core.model.AttemptFailure#NOT_SENT} when that time has
	 * passed.
	 * </p>
	 *
	 * @param attemptId the attempt
	 * @param requestId the request
	 * @param endpoint the endpoint to which the request is sent
	 * @param priority priority relative to other work on the engine; higher values run
	 * first
	 * @param timeoutMillis remaining time until the deadline, in milliseconds
	 * @param resumeOffsetTokens number of output tokens that the caller has already
	 * received
	 * @param notAfterMonotonicMillis latest monotonic time at which the first byte may be
	 * sent, in milliseconds
	 * @param holds holds on the memory that the request uses, starting with that of the
	 * endpoint itself; empty for none
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
	 * Cancels an attempt and frees the resources it uses at the endpoint. Later events of
	 * the attempt are ignored.
	 *
	 * @param attemptId the attempt
	 * @param endpoint the endpoint that runs the attempt
	 */
	record Cancel(long attemptId, EndpointId endpoint) implements AttemptEffect {
	}

	/**
	 * A hold on the memory of one of the engines that an attempt uses.
	 *
	 * @param endpoint the engine that granted the hold
	 * @param holdId the hold
	 */
	record MemberHold(EndpointId endpoint, long holdId) {
	}

}
