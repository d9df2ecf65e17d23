package io.mulberrylift.core.event;

import java.util.Optional;
import java.util.OptionalLong;

import io.mulberrylift.core.model.AttemptFailure;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.core.time.Moment;

/**
 * Events of single attempts to run a request on an endpoint.
 */
public sealed interface AttemptEvent extends Event {

	/**
	 * Returns the attempt to which the event belongs.
	 * @return the identifier given in the dispatch effect
	 */
	long attemptId();

	/**
	 * The first token, or the status and headers of a plain service's answer, arrived.
	 *
	 * @param at when it was observed
	 * @param attemptId the attempt
	 */
	record Started(Moment at, long attemptId) implements AttemptEvent {
	}

	/**
	 * The complete answer arrived, including its explicit end marker.
	 *
	 * @param at when it was observed
	 * @param attemptId the attempt
	 * @param promptTokens actual length of the prompt in tokens
	 * @param cachedTokens number of prompt tokens served from the prefix cache
	 * @param outputTokens number of generated tokens
	 * @param answer the complete answer, empty when it is too large to store
	 */
	record Finished(Moment at, long attemptId, int promptTokens, int cachedTokens, int outputTokens,
			Optional<StoredAnswer> answer) implements AttemptEvent {
	}

	/**
	 * The attempt ended without a complete answer.
	 *
	 * @param at when it was observed
	 * @param attemptId the attempt
	 * @param failure the cause
	 * @param deliveredTokens number of tokens that reached the caller before the failure
	 * @param retryAfterMillis retry delay requested by the endpoint in milliseconds,
	 * empty for none
	 * @param detail error text of the endpoint, may be empty
	 */
	record Failed(Moment at, long attemptId, AttemptFailure failure, int deliveredTokens, OptionalLong retryAfterMillis,
			String detail) implements AttemptEvent {
	}

}
