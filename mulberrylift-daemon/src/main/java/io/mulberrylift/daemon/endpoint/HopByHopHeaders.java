package io.mulberrylift.daemon.endpoint;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Separates end-to-end headers from those of a single connection.
 */
final class HopByHopHeaders {

	private static final String CONNECTION = "connection";

	private static final Set<String> NAMES = Set.of(CONNECTION, "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "host", "expect");

	private HopByHopHeaders() {
	}

	/**
	 * Returns the end-to-end headers.
	 * @param headers all headers
	 * @return those that may be passed on, in order
	 */
	static Map<String, List<String>> endToEnd(Map<String, List<String>> headers) {
		Set<String> dropped = new HashSet<>(NAMES);
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

	private static void addNames(String list, Set<String> names) {
		for (String name : list.split(",")) {
			names.add(name.strip().toLowerCase(Locale.ROOT));
		}
	}

}
