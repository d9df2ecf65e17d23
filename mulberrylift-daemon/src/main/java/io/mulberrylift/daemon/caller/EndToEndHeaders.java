package io.mulberrylift.daemon.caller;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Filters out hop-by-hop headers, which concern a single connection, and headers of this
 * system.
 */
final class EndToEndHeaders {

	private static final String CONNECTION = "connection";

	private static final Set<String> HOP_BY_HOP = Set.of(CONNECTION, "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect",
			"content-length");

	private static final String MULBERRYLIFT_PREFIX = "mulberrylift-";

	private EndToEndHeaders() {
	}

	/**
	 * Returns the headers of a call that are forwarded to the service.
	 * @param headers all headers by name
	 * @param credentialChecked whether the caller's credential is one of this system and
	 * must not be forwarded
	 * @return the end-to-end headers without those of this system and without the host
	 */
	static Map<String, List<String>> ofRequest(Map<String, List<String>> headers, boolean credentialChecked) {
		Map<String, List<String>> kept = ofResponse(headers);
		kept.keySet().removeIf((name) -> name.toLowerCase(Locale.ROOT).startsWith(MULBERRYLIFT_PREFIX));
		kept.remove("host");
		if (credentialChecked) {
			kept.remove("authorization");
		}
		return kept;
	}

	/**
	 * Returns the headers of an answer that are forwarded to the caller.
	 * @param headers all headers by name
	 * @return the end-to-end headers; names are case-insensitive
	 */
	static Map<String, List<String>> ofResponse(Map<String, List<String>> headers) {
		Map<String, List<String>> kept = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		kept.putAll(headers);
		Set<String> named = new TreeSet<>(HOP_BY_HOP);
		kept.getOrDefault(CONNECTION, List.of())
			.stream()
			.flatMap((value) -> Arrays.stream(value.split(",")))
			.map((name) -> name.trim().toLowerCase(Locale.ROOT))
			.forEach(named::add);
		kept.keySet().removeIf((name) -> named.contains(name.toLowerCase(Locale.ROOT)));
		return kept;
	}

}
