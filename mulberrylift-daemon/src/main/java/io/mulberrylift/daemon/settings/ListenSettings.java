package io.mulberrylift.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Where a port is opened.
 *
 * <p>
 * Immutable.
 * </p>
 *
 * @param host address to listen on
 * @param port port to listen on, 0 for any free one
 */
public record ListenSettings(@JsonProperty(required = true) String host, @JsonProperty(required = true) int port) {
}
