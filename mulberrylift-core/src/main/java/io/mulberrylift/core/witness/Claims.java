package io.mulberrylift.core.witness;

import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.core.time.Moment;

/**
 * Claims the right to run a non-idempotent request.
 *
 * <p>
 * Owned by the reducer and not safe for use by several threads. Each claim gets exactly
 * one outcome, at the latest at its deadline.
 * </p>
 */
public interface Claims {

	/**
	 * Starts a claim for a request that carries a key.
	 * @param spec the request
	 * @param deadlineMonotonicMillis latest time for the outcome
	 * @param now the current time
	 * @param effects takes the messages
	 */
	void claim(RequestSpec spec, long deadlineMonotonicMillis, Moment now, Effects effects);

	/**
	 * Gives a claim up. The request has not been dispatched and never will be.
	 * @param requestId the request
	 * @param effects takes the messages
	 */
	void release(long requestId, Effects effects);

	/**
	 * Records how a granted request ended after it may have run.
	 * @param requestId the request
	 * @param answer the whole answer when it is small enough to keep
	 * @param now the current time
	 * @param effects takes the messages
	 */
	void complete(long requestId, Optional<StoredAnswer> answer, Moment now, Effects effects);

	/**
	 * Returns whether a granted request may be sent to an endpoint now.
	 * @param requestId the request
	 * @param now the current time
	 * @return false when its claim is not held or the window of its key is about to end
	 */
	boolean mayDispatch(long requestId, Moment now);

	/**
	 * Takes the outcomes since the last call.
	 * @return the outcomes in order
	 */
	List<ClaimOutcome> takeOutcomes();

}
