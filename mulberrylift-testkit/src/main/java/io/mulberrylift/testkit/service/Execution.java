package io.mulberrylift.testkit.service;

/**
 * Number of executed calls with a given idempotency key and body.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param idempotencyKey the key, empty if the calls had none
 * @param bodyHash hash of the body as 16 hexadecimal digits
 * @param count number of executions
 */
public record Execution(String idempotencyKey, String bodyHash, int count) {
}
