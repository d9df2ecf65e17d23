package io.mulberrylift.testkit.history;

/**
 * A broken promise.
 *
 * @param promise the promise
 * @param subject the send, key, endpoint or instance
 * @param detail what happened
 */
public record Violation(Guarantee promise, String subject, String detail) {
}
