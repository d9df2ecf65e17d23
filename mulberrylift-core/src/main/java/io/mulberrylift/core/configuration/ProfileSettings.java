package io.mulberrylift.core.configuration;

/**
 * Requirements of a class of requests.
 *
 * @param priority priority relative to other requests, 0 (lowest) to 9 (highest)
 * @param defaultTimeoutMillis time from arrival to deadline for a request that specifies
 * none, in milliseconds
 * @param maxTimeoutMillis maximum accepted time from arrival to deadline, in milliseconds
 * @param repeatable whether requests may run more than once
 * @param keyRequired whether requests must carry an idempotency key
 * @param firstTokenTargetMillis target for the time to first token in milliseconds, 0 for
 * none
 */
public record ProfileSettings(int priority, long defaultTimeoutMillis, long maxTimeoutMillis, boolean repeatable,
		boolean keyRequired, long firstTokenTargetMillis) {
}
