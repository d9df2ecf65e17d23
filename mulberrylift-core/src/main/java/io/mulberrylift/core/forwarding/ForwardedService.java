package io.mulberrylift.core.forwarding;

import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.placement.EngineCostModel;

/**
 * A service that requests are forwarded to.
 *
 * @param name name of the service
 * @param maxConnections connections that one endpoint accepts from all callers
 * @param engine cost model of its endpoints, empty for plain services
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
