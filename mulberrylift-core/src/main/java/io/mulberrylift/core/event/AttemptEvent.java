package io.mulberrylift.core.event;

import java.util.Optional;
import java.util.OptionalLong;

import io.mulberrylift.core.model.AttemptFailure;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.core.time.Moment;

/**
 * Events of single tries of a request on an endpoint.
 */
public sealed interface AttemptEvent extends Event {

	/**
	 * Returns the try that the event is about.
	 * @return the identity given in the dispatch effect
	 */
	long attemptId();

	/**
	 * The first token, or the head of a plain service's answer, arrived.
	 *
	 * @param at when it was observed
	 * @param attemptId the try
	 */
	record Started(Moment at, long attemptId) implements AttemptEvent {
	}

	/**
	 * The whole answer arrived with its explicit end.
	 *
	 * @param at when it was observed
	 * @param attemptId the try
	 * @param promptTokens true length of the prompt in tokens
	 * @param cachedTokens prompt tokens taken from the prefix cache
	 * @param outputTokens generated tokens
	 * @param answer the whole answer when it is small enough to store
	 */
	record Finished(Moment at, long attemptId, int promptTokens, int cachedTokens, int outputTokens,
			Optional<StoredAnswer> answer) implements AttemptEvent {
	}

	/**
	 * The try ended without a whole answer.
	 *
	 * @param at when it was observed
	 * @param attemptId the try
	 * @param failure what happened
	 * @param deliveredTokens tokens that reached the caller before the failure
	 * @param retryAfterMillis when the endpoint asked to come back, in milliseconds
	 * @param detail what the endpoint said, may be empty
	 */
	record Failed(Moment at, long attemptId, AttemptFailure failure, int deliveredTokens, OptionalLong retryAfterMillis,
			String detail) implements AttemptEvent {
	}

}
