package io.mulberrylift.core.witness;

import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.core.time.Moment;

/**
 * Claims idempotency keys, so that a non-idempotent request runs at most once.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Each claim gets exactly one outcome, at the
 * latest at its deadline.
 * </p>
 */
public interface Claims {

	/**
	 * Starts a claim for a request that carries a key.
	 * @param spec the request
	 * @param deadlineMonotonicMillis latest monotonic time for the outcome, in
	 * milliseconds
	 * @param now the current time
	 * @param effects receives the messages to send
	 */
	void claim(RequestSpec spec, long deadlineMonotonicMillis, Moment now, Effects effects);

	/**
	 * Abandons a claim. The request has not been dispatched and never will be.
	 * @param requestId the request
	 * @param effects receives the messages to send
	 */
	void release(long requestId, Effects effects);

	/**
	 * Records the result of a granted request that may have run.
	 * @param requestId the request
	 * @param answer the complete answer if it is small enough to store
	 * @param now the current time
	 * @param effects receives the messages to send
	 */
	void complete(long requestId, Optional<StoredAnswer> answer, Moment now, Effects effects);

	/**
	 * Returns whether a granted request may be sent to an endpoint now.
	 * @param requestId the request
	 * @param now the current time
	 * @return false if its claim is not held or the window of its key is about to end
	 */
	boolean mayDispatch(long requestId, Moment now);

	/**
	 * Returns and clears the outcomes since the last call.
	 * @return the outcomes in the order in which they were decided
	 */
	List<ClaimOutcome> takeOutcomes();

}
