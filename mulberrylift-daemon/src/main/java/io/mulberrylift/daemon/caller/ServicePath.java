package io.mulberrylift.daemon.caller;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * The target of a call to a plain service.
 *
 * @param service name of the service
 * @param path raw path below the service's name, without leading slash
 * @param query raw query, empty if there is none
 */
record ServicePath(String service, String path, String query) {

	/** Path prefix of calls to services. */
	static final String PREFIX = "/v1/services/";

	/**
	 * Parses a raw path. Paths that a service could interpret as another path (with dot
	 * segments, empty segments, encoded separators or parameters) are rejected, because
	 * the path determines whether the call may run more than once.
	 * @param rawPath the raw path
	 * @param query raw query, empty if there is none
	 * @return the target, empty if the path is rejected
	 */
	static Optional<ServicePath> parse(String rawPath, String query) {
		if (!rawPath.startsWith(PREFIX)) {
			return Optional.empty();
		}
		String rest = rawPath.substring(PREFIX.length());
		int slash = rest.indexOf('/');
		String service = (slash < 0) ? rest : rest.substring(0, slash);
		String path = (slash < 0) ? "" : rest.substring(slash + 1);
		if (service.isEmpty() || !isUnambiguous(service) || !(path.isEmpty() || isUnambiguous(path))) {
			return Optional.empty();
		}
		return Optional.of(new ServicePath(service, path, query));
	}

	/**
	 * Returns the path and query to send to the service.
	 * @return the raw path, with the raw query if there is one
	 */
	String pathAndQuery() {
		return (this.query.isEmpty()) ? this.path : this.path + "?" + this.query;
	}

	private static boolean isUnambiguous(String rawPath) {
		String stripped = (rawPath.endsWith("/")) ? rawPath.substring(0, rawPath.length() - 1) : rawPath;
		return Arrays.stream(stripped.split("/", -1)).allMatch(ServicePath::isUnambiguousSegment);
	}

	private static boolean isUnambiguousSegment(String rawSegment) {
		try {
			String segment = URLDecoder.decode(rawSegment.replace("+", "%2B"), StandardCharsets.UTF_8);
			boolean special = segment.isEmpty() || segment.equals(".") || segment.equals("..");
			return !special && segment.chars().noneMatch((c) -> c == '/' || c == '\\' || c == ';' || c == '%');
		}
		catch (IllegalArgumentException ex) {
			return false;
		}
	}

}
