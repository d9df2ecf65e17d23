package io.mulberrylift.core.forwarding;

import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.placement.EngineCostModel;

/**
 * A service that requests are forwarded to.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections to one of its endpoints
 * @param engine cost model of its engines, empty if its endpoints are not engines
 * @param coldStart what its endpoints accept while they are cold, empty if they accept as
 * much as others
 */
public record ForwardedService(String name, int maxConnections, Optional<EngineCostModel> engine,
		Optional<ColdStart> coldStart) {

	/**
	 * Creates the service.
	 */
	public ForwardedService {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(engine, "engine");
		Objects.requireNonNull(coldStart, "coldStart");
	}

	/**
	 * Creates a service whose cold endpoints accept as much as others.
	 * @param name name of the service
	 * @param maxConnections maximum number of connections to one of its endpoints
	 * @param engine cost model of its engines
	 */
	public ForwardedService(String name, int maxConnections, Optional<EngineCostModel> engine) {
		this(name, maxConnections, engine, Optional.empty());
	}

}
