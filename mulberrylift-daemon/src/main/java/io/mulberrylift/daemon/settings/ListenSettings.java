package io.mulberrylift.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Address of a listening port.
 *
 * <p>
 * Immutable.
 * </p>
 *
 * @param host address to listen on
 * @param port port to listen on, 0 for any free port
 */
public record ListenSettings(@JsonProperty(required = true) String host, @JsonProperty(required = true) int port) {
}
