package io.mulberrylift.testkit.service;

/**
 * Calls with one key and one body that a stand-in service executed.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param idempotencyKey the key, empty when the calls had none
 * @param bodyHash hash of the body, 16 hex digits
 * @param count how many were executed
 */
public record Execution(String idempotencyKey, String bodyHash, int count) {
}
