package io.mulberrylift.testkit.experiment;

import io.mulberrylift.core.scheduling.RoutingPolicy;

/**
 * Results of one policy for one fleet, load and seed.
 *
 * @param shape the fleet
 * @param load request rate as a share of the fleet's capacity
 * @param policy the policy
 * @param seed seed of the workload
 * @param mixed the run with all requests
 * @param shortOnly the run with only the short requests, sent at the same times
 * @param idle the run with the short requests on an almost idle fleet
 */
record ComparisonRow(FleetShape shape, double load, RoutingPolicy policy, long seed, RunResult mixed,
		RunResult shortOnly, RunResult idle) {

	private static final double PERCENTILE = 95;

	/**
	 * Returns the slowdown of the time to first token of short requests that long
	 * requests cause.
	 * @return ratio of the 95th percentiles
	 */
	double firstTokenSlowdown() {
		return this.mixed.shortFirstTokenMillis(PERCENTILE) / this.shortOnly.shortFirstTokenMillis(PERCENTILE);
	}

	/**
	 * Returns the slowdown of the end-to-end latency of short requests that long requests
	 * cause.
	 * @return ratio of the 95th percentiles
	 */
	double endToEndSlowdown() {
		return this.mixed.shortDurationMillis(PERCENTILE) / this.shortOnly.shortDurationMillis(PERCENTILE);
	}

	/**
	 * Returns the slowdown of the time to first token of short requests relative to an
	 * idle fleet.
	 * @return ratio of the 95th percentiles
	 */
	double idleRatio() {
		return this.mixed.shortFirstTokenMillis(PERCENTILE) / this.idle.shortFirstTokenMillis(PERCENTILE);
	}

}
