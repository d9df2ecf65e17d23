package io.mulberrylift.core.scheduling;

import io.mulberrylift.core.model.EndpointId;

/**
 * Result of an attempt, from which the speed of its endpoint is estimated.
 *
 * @param requestId the request
 * @param endpoint the endpoint that ran the attempt
 * @param complete whether the answer was complete
 * @param promptTokens length of the prompt in tokens, 0 if unknown
 * @param cachedTokens prompt tokens read from the prefix cache
 * @param outputTokens generated tokens
 * @param firstTokenMillis time from dispatch to the first token in milliseconds, -1 if
 * there was none
 * @param durationMillis time from dispatch to the end of the attempt in milliseconds
 */
public record AttemptReport(long requestId, EndpointId endpoint, boolean complete, int promptTokens, int cachedTokens,
		int outputTokens, long firstTokenMillis, long durationMillis) {
}
