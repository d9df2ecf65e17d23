package io.mulberrylift.core.scheduling;

import io.mulberrylift.core.model.EndpointId;

/**
 * How a try went, for learning the speed of endpoints.
 *
 * @param requestId the request
 * @param endpoint where it ran
 * @param complete whether the whole answer came
 * @param promptTokens length of the prompt in tokens, 0 when not known
 * @param cachedTokens prompt tokens taken from the prefix cache
 * @param outputTokens generated tokens
 * @param firstTokenMillis time from dispatch to first token, -1 when none came
 * @param durationMillis time from dispatch to the end
 */
public record AttemptReport(long requestId, EndpointId endpoint, boolean complete, int promptTokens, int cachedTokens,
		int outputTokens, long firstTokenMillis, long durationMillis) {
}
