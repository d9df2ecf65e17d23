package io.mulberrylift.testkit.engine;

/**
 * A hold as the engine lists it.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param key the hold
 * @param tokens reserved memory in tokens
 * @param expiresAtMicros when the engine may drop it, on the model's clock
 */
public record HoldState(HoldKey key, long tokens, long expiresAtMicros) {
}
