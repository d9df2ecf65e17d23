package io.mulberrylift.testkit.engine;

/**
 * State of a hold (a memory lease) on an engine.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param key key of the hold
 * @param tokens reserved memory in tokens
 * @param expiresAtMicros expiry time in microseconds of model time
 */
public record HoldState(HoldKey key, long tokens, long expiresAtMicros) {
}
