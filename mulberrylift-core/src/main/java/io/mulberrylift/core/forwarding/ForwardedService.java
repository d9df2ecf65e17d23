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
 */
public record ForwardedService(String name, int maxConnections, Optional<EngineCostModel> engine) {

	/**
	 * Creates the service.
	 */
	public ForwardedService {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(engine, "engine");
	}

}
