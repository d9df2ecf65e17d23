package io.mulberrylift.core.cost;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.placement.EndpointWork;
import io.mulberrylift.core.placement.Placement;

/**
 * Places requests of services without an engine cost model on the endpoint where they are
 * expected to be complete first. Requests that are alike, on endpoints that are alike,
 * are placed where the fewest are in progress.
 *
 * <p>
 * All endpoints are compared, since services have three to some dozens of them. Not
 * thread-safe; owned by the reducer.
 * </p>
 */
public final class ExpectedCompletionPlacement {

	/** Cost of a failure rate of 1, in units of a fully used endpoint. */
	private static final double FAILURE_COST = 2.0;

	/** Cost of another availability zone, in units of a fully used endpoint. */
	private static final double OTHER_ZONE_COST = 0.3;

	private static final double JITTER_COST = 0.1;

	private final LearnedCosts costs;

	private final RandomGenerator random;

	/**
	 * Creates the policy.
	 * @param costs what requests cost
	 * @param random source of randomness for breaking ties
	 */
	public ExpectedCompletionPlacement(LearnedCosts costs, RandomGenerator random) {
		this.costs = Objects.requireNonNull(costs, "costs");
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Chooses an endpoint.
	 * @param endpoints the candidates with their work
	 * @param zone availability zone of this instance
	 * @param subject the request's route
	 * @param nowMillis the current time
	 * @return the choice of least cost, empty if there is no endpoint
	 */
	public Optional<Choice> place(List<EndpointWork> endpoints, String zone, CostSubject subject, long nowMillis) {
		List<Choice> choices = new ArrayList<>(endpoints.size());
		for (EndpointWork candidate : endpoints) {
			CompletionEstimate estimate = this.costs.estimate(candidate, subject, nowMillis);
			double cost = estimate.cost() + ((zone.equals(candidate.endpoint().zone())) ? 0 : OTHER_ZONE_COST)
					+ FAILURE_COST * candidate.health().failureRate() + this.random.nextDouble() * JITTER_COST;
			choices.add(new Choice(new Placement(candidate.endpoint(), List.of(), 0, estimate.totalMillis(), cost),
					estimate));
		}
		return choices.stream().min(Comparator.comparingDouble((choice) -> choice.placement().cost()));
	}

	/**
	 * A placement and what it rests on.
	 *
	 * @param placement the placement
	 * @param estimate the estimate
	 */
	public record Choice(Placement placement, CompletionEstimate estimate) {
	}

}
