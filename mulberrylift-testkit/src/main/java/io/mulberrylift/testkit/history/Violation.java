package io.mulberrylift.testkit.history;

/**
 * A violated guarantee.
 *
 * @param promise the guarantee
 * @param subject identity of the send, endpoint or instance, or the key
 * @param detail description of what happened
 */
public record Violation(Guarantee promise, String subject, String detail) {
}
