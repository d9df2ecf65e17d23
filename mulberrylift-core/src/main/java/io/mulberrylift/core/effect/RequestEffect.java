package io.mulberrylift.core.effect;

import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.StoredAnswer;

/**
 * Effects that answer callers. Exactly one of them ends each request.
 */
public sealed interface RequestEffect extends Effect {

	/**
	 * Returns the request that the effect ends.
	 * @return the identifier of the send
	 */
	long requestId();

	/**
	 * Ends the request without a complete answer: with a problem document, or with an
	 * error event if part of a stream has already been sent.
	 *
	 * @param requestId the request
	 * @param refusal the final result
	 */
	record Refuse(long requestId, Refusal refusal) implements RequestEffect {
	}

	/**
	 * Ends the answer that the last attempt streamed to the caller.
	 *
	 * @param requestId the request
	 */
	record Complete(long requestId) implements RequestEffect {
	}

	/**
	 * Answers with the stored answer of an earlier send.
	 *
	 * @param requestId the request
	 * @param answer the answer
	 */
	record Replay(long requestId, StoredAnswer answer) implements RequestEffect {
	}

}
