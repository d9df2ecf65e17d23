package io.mulberrylift.core.forwarding;

import java.util.Objects;

/**
 * A service with its weight among the services of a route.
 *
 * @param service name of the service
 * @param weight share of the requests relative to the other services of the route, not
 * negative
 */
public record WeightedService(String service, int weight) {

	/**
	 * Creates the weighted service.
	 * @throws IllegalArgumentException if the weight is negative
	 */
	public WeightedService {
		Objects.requireNonNull(service, "service");
		if (weight < 0) {
			throw new IllegalArgumentException("Service weight must not be negative");
		}
	}

}
