package io.mulberrylift.testkit.platform;

/**
 * Published configuration and its version.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param version the version, 0 before the first publication
 * @param document the configuration document
 */
public record PublishedConfiguration(long version, String document) {
}
