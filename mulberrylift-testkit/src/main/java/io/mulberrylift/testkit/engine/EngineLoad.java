package io.mulberrylift.testkit.engine;

/**
 * Numbers of a model's load report.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param runningRequests requests in the batch
 * @param queuedRequests requests that wait for their place
 * @param queuedPromptTokens prompt tokens that are not processed yet, of waiting and
 * running requests
 * @param usedMemoryTokens memory that is not available to new work, in tokens
 */
public record EngineLoad(int runningRequests, int queuedRequests, long queuedPromptTokens, long usedMemoryTokens) {
}
