package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A published version of the routes, services, API keys and limits.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param version version number, increasing with each publication
 * @param routes the routes
 * @param services services by name
 * @param workspacesByKey workspace of each API key
 * @param keysRequired whether requests need an API key, except on routes with public
 * access
 * @param limits limits of callers' connections
 */
public record ForwardingConfiguration(long version, RouteTable routes, Map<String, ForwardedService> services,
		Map<String, String> workspacesByKey, boolean keysRequired, ClientLimits limits) {

	/**
	 * Creates the configuration.
	 */
	public ForwardingConfiguration {
		Objects.requireNonNull(routes, "routes");
		Objects.requireNonNull(limits, "limits");
		services = Map.copyOf(services);
		workspacesByKey = Map.copyOf(workspacesByKey);
	}

	/**
	 * Finds a service by its name.
	 * @param name the name
	 * @return the service, empty if it is not configured
	 */
	public Optional<ForwardedService> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the workspaces that have an API key.
	 * @return their distinct names, sorted
	 */
	public List<String> workspaces() {
		return this.workspacesByKey.values().stream().distinct().sorted().toList();
	}

}
