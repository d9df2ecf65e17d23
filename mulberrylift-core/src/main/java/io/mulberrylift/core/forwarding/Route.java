package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Objects;

/**
 * Services and limits for requests with a certain host and path prefix.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param name name of the route
 * @param host host of the requests, in lower case
 * @param pathPrefix prefix of the path, starting and ending with a slash
 * @param services services among which the requests are distributed, at least one
 * @param kind whether requests may be repeated and how answers are delivered
 * @param timeoutMillis maximum time until the final answer
 * @param firstByteTargetMillis target for the time to the first byte
 * @param gapTargetMillis target for the maximum time between two stream events; 0 for
 * none
 * @param maxAttempts maximum number of attempts of a request
 * @param priority priority of the requests, 0 is the highest
 * @param publicAccess whether requests need no API key
 * @param allowedRegions regions that the requests may be in, empty if they may be
 * anywhere
 */
public record Route(String name, String host, String pathPrefix, List<WeightedService> services, RequestKind kind,
		long timeoutMillis, long firstByteTargetMillis, long gapTargetMillis, int maxAttempts, int priority,
		boolean publicAccess, List<String> allowedRegions) {

	/**
	 * Creates the route.
	 * @throws IllegalArgumentException if a field is out of its range
	 */
	public Route {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(kind, "kind");
		services = List.copyOf(services);
		allowedRegions = List.copyOf(allowedRegions);
		if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
			throw new IllegalArgumentException("pathPrefix must start and end with a slash");
		}
		if (services.isEmpty()) {
			throw new IllegalArgumentException("Route must have at least one service");
		}
		if (maxAttempts < 1) {
			throw new IllegalArgumentException("maxAttempts must be positive");
		}
	}

	/**
	 * Creates a route whose requests may be in any region.
	 * @param name name of the route
	 * @param host host of the requests, in lower case
	 * @param pathPrefix prefix of the path
	 * @param services services among which the requests are distributed
	 * @param kind whether requests may be repeated and how answers are delivered
	 * @param timeoutMillis maximum time until the final answer
	 * @param firstByteTargetMillis target for the time to the first byte
	 * @param gapTargetMillis target for the maximum time between two stream events
	 * @param maxAttempts maximum number of attempts of a request
	 * @param priority priority of the requests
	 * @param publicAccess whether requests need no API key
	 */
	public Route(String name, String host, String pathPrefix, List<WeightedService> services, RequestKind kind,
			long timeoutMillis, long firstByteTargetMillis, long gapTargetMillis, int maxAttempts, int priority,
			boolean publicAccess) {
		this(name, host, pathPrefix, services, kind, timeoutMillis, firstByteTargetMillis, gapTargetMillis, maxAttempts,
				priority, publicAccess, List.of());
	}

	/**
	 * Chooses a service at random by weight.
	 * @param draw random number from 0 (inclusive) to 1 (exclusive)
	 * @return the name of the service
	 */
	public String chooseService(double draw) {
		long total = this.services.stream().mapToLong(WeightedService::weight).sum();
		double remaining = draw * total;
		for (WeightedService candidate : this.services) {
			remaining -= candidate.weight();
			if (remaining < 0) {
				return candidate.service();
			}
		}
		return this.services.get(0).service();
	}

}
