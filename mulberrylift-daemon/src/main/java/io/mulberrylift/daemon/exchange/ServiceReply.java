package io.mulberrylift.daemon.exchange;

import java.util.List;
import java.util.Map;

/**
 * The complete answer of a plain service.
 *
 * @param httpStatus HTTP status
 * @param headers end-to-end headers by name
 * @param body the complete body
 */
public record ServiceReply(int httpStatus, Map<String, List<String>> headers, byte[] body) {
}
