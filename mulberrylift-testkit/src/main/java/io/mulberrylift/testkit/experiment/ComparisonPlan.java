package io.mulberrylift.testkit.experiment;

import java.util.List;

import io.mulberrylift.core.scheduling.RoutingPolicy;

/**
 * Parameters of a comparison.
 *
 * @param shapes the fleets
 * @param seeds seeds of the workloads
 * @param loads request rates as shares of the fleet's capacity
 * @param policies the policies
 * @param warmUpSeconds time before the measurement window
 * @param windowSeconds length of the measurement window
 * @param coolDownSeconds time after the window during which requests still arrive
 */
record ComparisonPlan(List<FleetShape> shapes, List<Long> seeds, List<Double> loads, List<RoutingPolicy> policies,
		long warmUpSeconds, long windowSeconds, long coolDownSeconds) {

	private static final long MICROS_PER_SECOND = 1_000_000;

	RunResult.Window window() {
		return new RunResult.Window(this.warmUpSeconds * MICROS_PER_SECOND,
				(this.warmUpSeconds + this.windowSeconds) * MICROS_PER_SECOND);
	}

	long totalSeconds() {
		return this.warmUpSeconds + this.windowSeconds + this.coolDownSeconds;
	}

}
