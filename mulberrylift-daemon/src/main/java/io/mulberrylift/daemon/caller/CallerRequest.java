package io.mulberrylift.daemon.caller;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A caller's request as it was read from its connection.
 *
 * <p>
 * Immutable by convention: the body must not be changed after construction.
 * </p>
 *
 * @param method the HTTP method
 * @param path the raw path
 * @param query the raw query, empty for none
 * @param headers values by name, names in any case
 * @param body the whole body, empty for none
 */
public record CallerRequest(String method, String path, String query, Map<String, List<String>> headers, byte[] body) {

	/**
	 * Creates the request.
	 */
	public CallerRequest {
		Map<String, List<String>> sorted = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		sorted.putAll(headers);
		headers = Collections.unmodifiableMap(sorted);
	}

	/**
	 * Returns the first value of a header.
	 * @param name name in any case
	 * @return the trimmed value, empty when the header is absent or blank
	 */
	public Optional<String> header(String name) {
		return this.headers.getOrDefault(name, List.of())
			.stream()
			.map(String::trim)
			.filter((value) -> !value.isEmpty())
			.findFirst();
	}

}
