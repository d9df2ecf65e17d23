package io.mulberrylift.daemon.caller;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A caller's request as read from its connection.
 *
 * <p>
 * Immutable by convention: the body must not be changed after construction.
 * </p>
 *
 * @param method HTTP method
 * @param path raw path
 * @param query raw query, empty if there is none
 * @param headers values by name; names are case-insensitive
 * @param body the complete body, empty if there is none
 */
public record CallerRequest(String method, String path, String query, Map<String, List<String>> headers, byte[] body) {

	/**
	 * Creates a request with a case-insensitive copy of the headers.
	 */
	public CallerRequest {
		Map<String, List<String>> sorted = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		sorted.putAll(headers);
		headers = Collections.unmodifiableMap(sorted);
	}

	/**
	 * Returns the first value of a header.
	 * @param name name of the header, case-insensitive
	 * @return the first value that is not blank, trimmed; empty if there is none
	 */
	public Optional<String> header(String name) {
		return this.headers.getOrDefault(name, List.of())
			.stream()
			.map(String::trim)
			.filter((value) -> !value.isEmpty())
			.findFirst();
	}

}
