package io.mulberrylift.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Places requests of services without an engine cost model on the endpoint with the least
 * work per slot.
 *
 * <p>
 * Stateless except for its source of randomness; not thread-safe.
 * </p>
 */
public final class LeastLoadedPlacement {

	/** Cost of a failure rate of 1, in units of a fully used endpoint. */
	private static final double FAILURE_COST = 2.0;

	/** Cost of another availability zone, in units of a fully used endpoint. */
	private static final double OTHER_ZONE_COST = 0.3;

	private static final double JITTER_COST = 0.1;

	private final RandomGenerator random;

	/**
	 * Creates the policy.
	 * @param random source of randomness for breaking ties
	 */
	public LeastLoadedPlacement(RandomGenerator random) {
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Chooses an endpoint.
	 * @param endpoints the candidates with their work
	 * @param zone availability zone of this instance
	 * @return the placement of least cost, empty if there is no endpoint
	 */
	public Optional<Placement> place(List<EndpointWork> endpoints, String zone) {
		return endpoints.stream()
			.map((candidate) -> new Placement(candidate.endpoint(), List.of(), 0, 0, cost(candidate, zone)))
			.min(Comparator.comparingDouble(Placement::cost));
	}

	private double cost(EndpointWork candidate, String zone) {
		double cost = (double) candidate.slotsInUse() / candidate.endpoint().slots();
		cost += (zone.equals(candidate.endpoint().zone())) ? 0 : OTHER_ZONE_COST;
		cost += FAILURE_COST * candidate.health().failureRate();
		return cost + this.random.nextDouble() * JITTER_COST;
	}

}
