package io.mulberrylift.daemon.exchange;

import java.util.List;
import java.util.Map;

/**
 * A call to a plain service.
 *
 * @param method the HTTP method
 * @param pathAndQuery path below the service's name with the raw query, without leading
 * slash
 * @param headers end-to-end headers
 * @param body the whole body, empty for none
 */
public record ServiceCall(String method, String pathAndQuery, Map<String, List<String>> headers, byte[] body) {
}
