package io.mulberrylift.testkit.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.mulberrylift.core.scheduling.RoutingPolicy;

/**
 * Runs all policies of a plan on the same requests. Deterministic; for use by one thread.
 */
final class Comparison {

	private static final int IDLE_REQUESTS = 400;

	private static final long IDLE_GAP_MICROS = 1_500_000;

	private final ComparisonPlan plan;

	private final Consumer<ComparisonRow> progress;

	/**
	 * Creates a comparison.
	 * @param plan the parameters
	 * @param progress receives each row as soon as it is complete
	 */
	Comparison(ComparisonPlan plan, Consumer<ComparisonRow> progress) {
		this.plan = plan;
		this.progress = progress;
	}

	List<ComparisonRow> run() {
		List<ComparisonRow> rows = new ArrayList<>();
		for (FleetShape shape : this.plan.shapes()) {
			double capacity = CapacityMeasurement.requestsPerSecond(shape);
			for (double load : this.plan.loads()) {
				for (long seed : this.plan.seeds()) {
					run(shape, load, seed, load * capacity, rows);
				}
			}
		}
		return rows;
	}

	private void run(FleetShape shape, double load, long seed, double requestsPerSecond, List<ComparisonRow> rows) {
		List<Arrival> arrivals = new Workload(shape, seed).generate(requestsPerSecond, this.plan.totalSeconds());
		List<Arrival> shortOnly = arrivals.stream().filter(Arrival::isShort).toList();
		List<Arrival> idle = spread(shortOnly.subList(0, Math.min(IDLE_REQUESTS, shortOnly.size())));
		RunResult.Window all = new RunResult.Window(0, Long.MAX_VALUE / 2);
		for (RoutingPolicy policy : this.plan.policies()) {
			ComparisonRow row = new ComparisonRow(shape, load, policy, seed,
					ExperimentRun.run(shape, policy, arrivals, this.plan.window(), seed),
					ExperimentRun.run(shape, policy, shortOnly, this.plan.window(), seed),
					ExperimentRun.run(shape, policy, idle, all, seed));
			rows.add(row);
			this.progress.accept(row);
		}
	}

	private static List<Arrival> spread(List<Arrival> arrivals) {
		List<Arrival> spread = new ArrayList<>();
		for (Arrival arrival : arrivals) {
			spread.add(arrival.withSendMicros(spread.size() * IDLE_GAP_MICROS));
		}
		return spread;
	}

}
