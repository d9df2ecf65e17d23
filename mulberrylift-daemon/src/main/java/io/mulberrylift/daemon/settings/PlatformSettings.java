package io.mulberrylift.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Where the platform is found.
 *
 * <p>
 * Immutable.
 * </p>
 *
 * @param baseUrl address of the configuration service and the instance list
 */
public record PlatformSettings(@JsonProperty(required = true) String baseUrl) {
}
