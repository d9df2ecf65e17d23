package io.mulberrylift.core.witness;

import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.StoredAnswer;

/**
 * Outcome of the claim for a request.
 */
public sealed interface ClaimOutcome {

	/**
	 * Identifies the request.
	 * @return the request id, unique for each send
	 */
	long requestId();

	/**
	 * A majority of the seats granted the key to this send, which may be dispatched once.
	 *
	 * @param requestId the request
	 */
	record Granted(long requestId) implements ClaimOutcome {
	}

	/**
	 * An earlier send with the same key has run and its answer is stored.
	 *
	 * @param requestId the request
	 * @param answer the stored answer
	 */
	record Answered(long requestId, StoredAnswer answer) implements ClaimOutcome {
	}

	/**
	 * The claim was refused; the send must not run.
	 *
	 * @param requestId the request
	 * @param refusal the reason, with what is known about earlier sends
	 */
	record Denied(long requestId, Refusal refusal) implements ClaimOutcome {
	}

}
