package io.mulberrylift.testkit.experiment;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;

import io.mulberrylift.core.scheduling.RoutingPolicy;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Command that compares routing policies in virtual time.
 *
 * <p>
 * Not safe for use by several threads.
 * </p>
 */
@Command(name = "experiment", description = "Compares routing policies on seeded workloads in virtual time.")
public final class ExperimentCommand implements Callable<Integer> {

	@Option(names = "--shape", defaultValue = "both", description = "Fleet to simulate: prairie, timbangan or both.")
	private String shape;

	@Option(names = "--seeds", split = ",", defaultValue = "1,2,3", description = "Seeds of the workloads.")
	private List<Long> seeds;

	@Option(names = "--load", split = ",", defaultValue = "0.8,1.0,1.2",
			description = "Request rates as shares of the fleet's capacity.")
	private List<Double> loads;

	@Option(names = "--policies", split = ",", description = "Labels of the policies, all by default.")
	private List<String> policies = Arrays.stream(RoutingPolicy.values()).map(RoutingPolicy::label).toList();

	@Option(names = "--warm-up-seconds", defaultValue = "120",
			description = "Time in seconds before the measurement window.")
	private long warmUpSeconds;

	@Option(names = "--window-seconds", defaultValue = "480",
			description = "Length of the measurement window in seconds.")
	private long windowSeconds;

	@Option(names = "--cool-down-seconds", defaultValue = "120",
			description = "Time in seconds after the measurement window.")
	private long coolDownSeconds;

	@Option(names = "--out", description = "Directory for the CSV file, charts and an HTML page, none by default.")
	private Path out;

	@Option(names = "--fault", split = ",",
			description = "Labels of faults, or all; runs each policy with each fault instead of the comparison.")
	private List<String> faults = List.of();

	@Option(names = "--fault-seconds", defaultValue = "60", description = "Duration of a fault in seconds.")
	private long faultSeconds;

	@Spec
	private CommandSpec spec;

	/**
	 * Creates the command.
	 */
	public ExperimentCommand() {
	}

	@Override
	public Integer call() throws Exception {
		PrintWriter output = this.spec.commandLine().getOut();
		ComparisonPlan plan = new ComparisonPlan(shapes(), this.seeds, this.loads, selectedPolicies(),
				this.warmUpSeconds, this.windowSeconds, this.coolDownSeconds);
		plan.shapes()
			.forEach((fleet) -> output.printf(Locale.ROOT, "capacity of %s: %.2f requests/s%n", fleet.label(),
					CapacityMeasurement.requestsPerSecond(fleet)));
		if (!this.faults.isEmpty()) {
			runFaults(output);
			return CommandLine.ExitCode.OK;
		}
		List<ComparisonRow> rows = new Comparison(plan, (row) -> {
			output.printf(Locale.ROOT, "experiment: %s load %.2f seed %d %s done%n", row.shape().label(), row.load(),
					row.seed(), row.policy().label());
			output.flush();
		}).run();
		output.println(ResultTable.format(rows));
		output.flush();
		if (this.out != null) {
			ResultReport.write(rows, this.out);
		}
		return CommandLine.ExitCode.OK;
	}

	private void runFaults(PrintWriter output) throws IOException {
		FaultTimes times = new FaultTimes(this.warmUpSeconds, this.windowSeconds, this.faultSeconds,
				this.coolDownSeconds);
		output.printf(Locale.ROOT, "before: %d s to %d s; during: to %d s; after: to %d s%n", times.warmUpSeconds(),
				times.faultBeginSeconds(), times.faultEndSeconds(), times.totalSeconds());
		FaultComparison comparison = new FaultComparison(times);
		for (double load : this.loads) {
			List<FaultRow> rows = new ArrayList<>();
			for (FleetShape fleet : shapes()) {
				double rate = load * CapacityMeasurement.requestsPerSecond(fleet);
				for (RoutingPolicy policy : selectedPolicies()) {
					for (ExperimentFault fault : selectedFaults()) {
						this.seeds.forEach((seed) -> rows.add(comparison.run(fleet, policy, fault, rate, seed)));
					}
				}
			}
			output.printf(Locale.ROOT, "%nload %.2f%n%n%s", load, FaultReport.table(rows));
			output.flush();
			if (this.out != null) {
				FaultReport.write(rows, this.out.resolve(String.format(Locale.ROOT, "load-%.2f", load)));
			}
		}
	}

	private List<ExperimentFault> selectedFaults() {
		if (this.faults.equals(List.of("all"))) {
			return List.of(ExperimentFault.values());
		}
		return this.faults.stream()
			.map((label) -> ExperimentFault.ofLabel(label)
				.orElseThrow(() -> new CommandLine.ParameterException(this.spec.commandLine(),
						"Unknown fault " + label + "; expected all or some of "
								+ Arrays.stream(ExperimentFault.values()).map(ExperimentFault::label).toList() + ".")))
			.toList();
	}

	private List<FleetShape> shapes() {
		if ("both".equals(this.shape)) {
			return List.of(FleetShape.values());
		}
		return Arrays.stream(FleetShape.values())
			.filter((fleet) -> fleet.label().equals(this.shape))
			.findFirst()
			.map(List::of)
			.orElseThrow(() -> new CommandLine.ParameterException(this.spec.commandLine(),
					"Unknown shape " + this.shape + "; expected prairie, timbangan or both."));
	}

	private List<RoutingPolicy> selectedPolicies() {
		return this.policies.stream()
			.map((label) -> RoutingPolicy.ofLabel(label)
				.orElseThrow(() -> new CommandLine.ParameterException(this.spec.commandLine(),
						"Unknown policy " + label + "; expected values of routing.policy.")))
			.toList();
	}

	/**
	 * Runs the command as a separate program.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(new CommandLine(new ExperimentCommand()).execute(arguments));
	}

}
