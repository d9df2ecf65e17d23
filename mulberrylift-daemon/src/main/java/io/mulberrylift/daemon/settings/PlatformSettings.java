package io.mulberrylift.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Address of the platform.
 *
 * <p>
 * Immutable.
 * </p>
 *
 * @param baseUrl base URL of the configuration service and the instance list
 */
public record PlatformSettings(@JsonProperty(required = true) String baseUrl) {
}
