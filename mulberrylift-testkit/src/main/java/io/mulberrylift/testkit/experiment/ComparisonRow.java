package io.mulberrylift.testkit.experiment;

import io.mulberrylift.core.scheduling.RoutingPolicy;

/**
 * Results of one policy at one load with one seed.
 *
 * @param shape the fleet
 * @param load share of the fleet's capacity
 * @param policy the policy
 * @param seed seed of the workload
 * @param mixed the run with all requests
 * @param shortOnly the run with only the short requests, at the same times
 * @param idle the run with the short requests on an almost idle fleet
 */
record ComparisonRow(FleetShape shape, double load, RoutingPolicy policy, long seed, RunResult mixed,
		RunResult shortOnly, RunResult idle) {

	private static final double PERCENTILE = 95;

	/**
	 * Returns how much later short requests see their first token beside long ones.
	 * @return ratio of the 95th percentiles
	 */
	double firstTokenSlowdown() {
		return this.mixed.shortFirstTokenMillis(PERCENTILE) / this.shortOnly.shortFirstTokenMillis(PERCENTILE);
	}

	/**
	 * Returns how much later short requests are answered beside long ones.
	 * @return ratio of the 95th percentiles
	 */
	double endToEndSlowdown() {
		return this.mixed.shortDurationMillis(PERCENTILE) / this.shortOnly.shortDurationMillis(PERCENTILE);
	}

	/**
	 * Returns how much later short requests see their first token than on an idle fleet.
	 * @return ratio of the 95th percentiles
	 */
	double idleRatio() {
		return this.mixed.shortFirstTokenMillis(PERCENTILE) / this.idle.shortFirstTokenMillis(PERCENTILE);
	}

}
