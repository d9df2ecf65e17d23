package io.mulberrylift.core.configuration;

/**
 * What a class of work needs.
 *
 * @param priority rank towards other work, 0 (lowest) to 9 (highest)
 * @param defaultTimeoutMillis deadline of a request that names none, in milliseconds
 * @param maxTimeoutMillis latest accepted deadline, in milliseconds
 * @param repeatable whether requests may run more than once
 * @param keyRequired whether requests must carry an idempotency key
 * @param firstTokenTargetMillis wanted time to first token in milliseconds, 0 for none
 */
public record ProfileSettings(int priority, long defaultTimeoutMillis, long maxTimeoutMillis, boolean repeatable,
		boolean keyRequired, long firstTokenTargetMillis) {
}
