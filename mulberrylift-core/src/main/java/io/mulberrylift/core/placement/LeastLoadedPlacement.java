package io.mulberrylift.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Places requests of plain services on the endpoint with the least work per slot.
 *
 * <p>
 * Stateless but for its source of randomness; not safe for use by several threads.
 * </p>
 */
public final class LeastLoadedPlacement {

	/** Slots' worth of work that a failed attempt in each is worth. */
	private static final double FAILURE_COST = 2.0;

	/** Slots' worth of work that staying in the zone is worth. */
	private static final double OTHER_ZONE_COST = 0.3;

	private static final double JITTER_COST = 0.1;

	private final RandomGenerator random;

	/**
	 * Creates the policy.
	 * @param random breaks ties
	 */
	public LeastLoadedPlacement(RandomGenerator random) {
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Chooses an endpoint.
	 * @param endpoints the endpoints that may be used with their work
	 * @param zone availability zone of this instance
	 * @return the best choice, empty when there is no endpoint
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
