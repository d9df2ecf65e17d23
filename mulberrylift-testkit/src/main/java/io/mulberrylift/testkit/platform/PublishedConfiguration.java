package io.mulberrylift.testkit.platform;

/**
 * A published configuration.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param version the version, 0 before the first one
 * @param document the text
 */
public record PublishedConfiguration(long version, String document) {
}
