package io.mulberrylift.daemon.endpoint;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.mulberrylift.daemon.outbound.OutboundHttpClient;

/**
 * Removes headers that apply to a single connection only.
 */
final class HopByHopHeaders {

	private static final String CONNECTION = "connection";

	private static final Set<String> HOP_BY_HOP_NAMES = Set.of(CONNECTION, "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "host", "expect", OutboundHttpClient.CALL_HEADER.toLowerCase(Locale.ROOT));

	private HopByHopHeaders() {
	}

	/**
	 * Selects the end-to-end headers.
	 * @param headers all headers
	 * @return the headers that may be forwarded, in their original order
	 */
	static Map<String, List<String>> endToEnd(Map<String, List<String>> headers) {
		Set<String> dropped = new HashSet<>(HOP_BY_HOP_NAMES);
		headers.forEach((name, values) -> {
			if (name.equalsIgnoreCase(CONNECTION)) {
				values.forEach((value) -> addNames(value, dropped));
			}
		});
		Map<String, List<String>> kept = new LinkedHashMap<>();
		headers.forEach((name, values) -> {
			if (!dropped.contains(name.toLowerCase(Locale.ROOT))) {
				kept.put(name, values);
			}
		});
		return kept;
	}

	private static void addNames(String connectionValue, Set<String> names) {
		for (String name : connectionValue.split(",")) {
			names.add(name.strip().toLowerCase(Locale.ROOT));
		}
	}

}
