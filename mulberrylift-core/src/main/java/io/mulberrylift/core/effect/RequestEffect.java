package io.mulberrylift.core.effect;

import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.StoredAnswer;

/**
 * Effects towards callers. Exactly one of them ends each request.
 */
public sealed interface RequestEffect extends Effect {

	/**
	 * Returns the request.
	 * @return identity of the send
	 */
	long requestId();

	/**
	 * Gives the caller the final word that there is no whole answer: a problem document,
	 * or an error event when part of a stream has been sent.
	 *
	 * @param requestId the request
	 * @param refusal the final word
	 */
	record Refuse(long requestId, Refusal refusal) implements RequestEffect {
	}

	/**
	 * Gives the caller the end of the answer that the last attempt streamed.
	 *
	 * @param requestId the request
	 */
	record Complete(long requestId) implements RequestEffect {
	}

	/**
	 * Gives the caller the stored answer of an earlier send.
	 *
	 * @param requestId the request
	 * @param answer the answer
	 */
	record Replay(long requestId, StoredAnswer answer) implements RequestEffect {
	}

}
