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
 * @param workspaceTerms terms by workspace; workspaces without an entry have none
 */
public record ForwardingConfiguration(long version, RouteTable routes, Map<String, ForwardedService> services,
		Map<String, String> workspacesByKey, boolean keysRequired, ClientLimits limits,
		Map<String, WorkspaceTerms> workspaceTerms) {

	/**
	 * Creates the configuration.
	 */
	public ForwardingConfiguration {
		Objects.requireNonNull(routes, "routes");
		Objects.requireNonNull(limits, "limits");
		services = Map.copyOf(services);
		workspacesByKey = Map.copyOf(workspacesByKey);
		workspaceTerms = Map.copyOf(workspaceTerms);
	}

	/**
	 * Creates a configuration without terms of workspaces.
	 * @param version version number
	 * @param routes the routes
	 * @param services services by name
	 * @param workspacesByKey workspace of each API key
	 * @param keysRequired whether requests need an API key
	 * @param limits limits of callers' connections
	 */
	public ForwardingConfiguration(long version, RouteTable routes, Map<String, ForwardedService> services,
			Map<String, String> workspacesByKey, boolean keysRequired, ClientLimits limits) {
		this(version, routes, services, workspacesByKey, keysRequired, limits, Map.of());
	}

	/**
	 * Returns the terms of a workspace.
	 * @param workspace the workspace, empty for requests without one
	 * @return its terms, {@link WorkspaceTerms#NONE} if it has none
	 */
	public WorkspaceTerms terms(Optional<String> workspace) {
		return workspace.map(this.workspaceTerms::get).orElse(WorkspaceTerms.NONE);
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
