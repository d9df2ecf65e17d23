package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Objects;

/**
 * Where requests of one host and path prefix go and what bounds them.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param name name of the route
 * @param host host of the requests, in lower case
 * @param pathPrefix prefix of the path, begins and ends with a slash
 * @param services the services that share the requests, at least one
 * @param kind what may be repeated
 * @param timeoutMillis longest time until the final answer
 * @param firstByteTargetMillis time to the first byte that earns full benefit
 * @param gapTargetMillis longest pause between stream events that is on time; 0 for none
 * @param maxAttempts largest number of endpoints that one request may be sent to
 * @param priority rank, 0 first
 * @param publicAccess whether requests need no API key
 */
public record Route(String name, String host, String pathPrefix, List<WeightedService> services, RequestKind kind,
		long timeoutMillis, long firstByteTargetMillis, long gapTargetMillis, int maxAttempts, int priority,
		boolean publicAccess) {

	/**
	 * Creates the route.
	 * @throws IllegalArgumentException if a field is out of its range
	 */
	public Route {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(kind, "kind");
		services = List.copyOf(services);
		if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
			throw new IllegalArgumentException("pathPrefix must begin and end with a slash");
		}
		if (services.isEmpty()) {
			throw new IllegalArgumentException("A route needs at least one service");
		}
		if (maxAttempts < 1) {
			throw new IllegalArgumentException("maxAttempts must be positive");
		}
	}

	/**
	 * Chooses a service by weight.
	 * @param draw a number from 0 inclusive to 1 exclusive
	 * @return the name of the service
	 */
	public String chooseService(double draw) {
		long total = this.services.stream().mapToLong(WeightedService::weight).sum();
		double left = draw * total;
		for (WeightedService candidate : this.services) {
			left -= candidate.weight();
			if (left < 0) {
				return candidate.service();
			}
		}
		return this.services.get(0).service();
	}

}
