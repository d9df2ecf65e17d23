package io.mulberrylift.core.witness;

import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.StoredAnswer;

/**
 * What became of the claim for a request.
 */
public sealed interface ClaimOutcome {

	/**
	 * Returns the request.
	 * @return identity of the send
	 */
	long requestId();

	/**
	 * A majority of the seats granted the key to this send; it may be dispatched once.
	 *
	 * @param requestId the request
	 */
	record Granted(long requestId) implements ClaimOutcome {
	}

	/**
	 * An earlier send has run and its answer is known.
	 *
	 * @param requestId the request
	 * @param answer the stored answer
	 */
	record Answered(long requestId, StoredAnswer answer) implements ClaimOutcome {
	}

	/**
	 * The send must not run.
	 *
	 * @param requestId the request
	 * @param refusal why, with what is known about earlier sends
	 */
	record Denied(long requestId, Refusal refusal) implements ClaimOutcome {
	}

}
