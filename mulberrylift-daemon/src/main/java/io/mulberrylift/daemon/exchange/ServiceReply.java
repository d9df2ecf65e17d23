package io.mulberrylift.daemon.exchange;

import java.util.List;
import java.util.Map;

/**
 * The whole answer of a plain service.
 *
 * @param httpStatus the status
 * @param headers end-to-end headers
 * @param body the body
 */
public record ServiceReply(int httpStatus, Map<String, List<String>> headers, byte[] body) {
}
