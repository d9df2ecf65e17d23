package io.mulberrylift.daemon.exchange;

import java.util.List;
import java.util.Map;

/**
 * A call to a plain service.
 *
 * @param method HTTP method
 * @param pathAndQuery path below the service's name with the raw query, without leading
 * slash
 * @param headers end-to-end headers by name
 * @param body the complete body, empty if there is none
 */
public record ServiceCall(String method, String pathAndQuery, Map<String, List<String>> headers, byte[] body) {
}
