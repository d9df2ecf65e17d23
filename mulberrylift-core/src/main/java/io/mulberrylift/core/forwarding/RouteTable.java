package io.mulberrylift.core.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Finds the route for a host and path by the longest matching prefix.
 *
 * <p>
 * Immutable and thread-safe. The cost of a lookup is one hash access per slash of the
 * path, independent of the number of routes.
 * </p>
 */
public final class RouteTable {

	private final Map<String, Map<String, Route>> byHost = new HashMap<>();

	private final int size;

	/**
	 * Creates the table. If several routes have the same host and prefix, the first one
	 * is used.
	 * @param routes the routes
	 */
	public RouteTable(List<Route> routes) {
		for (Route route : routes) {
			this.byHost.computeIfAbsent(route.host(), (host) -> new HashMap<>()).putIfAbsent(route.pathPrefix(), route);
		}
		this.size = routes.size();
	}

	/**
	 * Finds the route of a request.
	 * @param host host as sent by the caller, with or without a port
	 * @param path path without query
	 * @return the route, empty if none matches
	 */
	public Optional<Route> find(String host, String path) {
		Map<String, Route> routes = this.byHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
		if (routes == null) {
			return Optional.empty();
		}
		for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
			Route route = routes.get(path.substring(0, slash + 1));
			if (route != null) {
				return Optional.of(route);
			}
			if (slash == 0) {
				break;
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the number of routes.
	 * @return the number
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Returns the priorities of the routes.
	 * @return the priorities, each once
	 */
	Set<Integer> priorities() {
		return this.byHost.values()
			.stream()
			.flatMap((routes) -> routes.values().stream())
			.map(Route::priority)
			.collect(Collectors.toSet());
	}

	private static String withoutPort(String host) {
		int colon = host.lastIndexOf(':');
		return (colon > 0 && host.indexOf(']', colon) < 0) ? host.substring(0, colon) : host;
	}

}
