package io.mulberrylift.testkit.engine;

/**
 * Load of a timing model.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param runningRequests requests in the batch
 * @param queuedRequests requests that wait to join the batch
 * @param queuedPromptTokens unprocessed prompt tokens of waiting and running requests
 * @param usedMemoryTokens memory that is not available to new requests, in tokens
 */
public record EngineLoad(int runningRequests, int queuedRequests, long queuedPromptTokens, long usedMemoryTokens) {
}
