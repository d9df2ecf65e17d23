package io.mulberrylift.testkit.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Stream;

import io.mulberrylift.testkit.fleet.FleetProcesses;
import io.mulberrylift.testkit.fleet.VersionRecorder;
import io.mulberrylift.testkit.history.CheckLimits;
import io.mulberrylift.testkit.history.Guarantee;
import io.mulberrylift.testkit.history.HistoryChecker;
import io.mulberrylift.testkit.history.HistoryEvent;
import io.mulberrylift.testkit.history.HistoryReader;
import io.mulberrylift.testkit.history.HistoryWriter;
import io.mulberrylift.testkit.history.Violation;
import io.mulberrylift.testkit.load.LoadGenerator;
import io.mulberrylift.testkit.load.LoadPlan;
import io.mulberrylift.testkit.load.LoadStatistics;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Command that runs nine instances in three zones under load with random faults and
 * checks the histories of callers and endpoints.
 *
 * <p>
 * Used by one thread.
 * </p>
 */
@Command(name = "soak", description = "Runs nine instances under load with random faults and checks the histories.",
		mixinStandardHelpOptions = true)
public final class SoakCommand implements Callable<Integer> {

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final long WARM_UP_MILLIS = 15_000;

	private static final long SETTLE_MILLIS = 8_000;

	private static final long DEADLINE_GRACE_MILLIS = 1_000;

	private static final long LEAVING_LIMIT_MILLIS = 3_000;

	private static final int MAX_SHOWN_VIOLATIONS = 50;

	@Spec
	private CommandSpec spec;

	@Option(names = "--seconds", defaultValue = "600", description = "Duration of load and faults in seconds.")
	private long seconds;

	@Option(names = "--rate", defaultValue = "30", description = "Requests per second.")
	private double ratePerSecond;

	@Option(names = "--seed", defaultValue = "1", description = "Seed of the load and the faults.")
	private long seed;

	@Option(names = "--time-scale", defaultValue = "10", description = "Speed of the engines relative to real time.")
	private String timeScale;

	@Option(names = "--faults", split = ",",
			description = "Faults to inject, all by default: ${COMPLETION-CANDIDATES}.")
	private List<SoakFault> faults = List.of(SoakFault.values());

	@Option(names = "--directory",
			description = "Directory for histories and process output, a new temporary one by default.")
	private Path directory;

	private final Map<SoakFault, Integer> injectedCounts = new EnumMap<>(SoakFault.class);

	private final UnavailablePeriods unavailablePeriods = new UnavailablePeriods();

	@Override
	public Integer call() throws Exception {
		Path target = (this.directory != null) ? Files.createDirectories(this.directory)
				: Files.createTempDirectory("mulberrylift-soak");
		try (PrintWriter log = new PrintWriter(Files.newBufferedWriter(target.resolve("processes.log")));
				FleetProcesses processes = new FleetProcesses(target, (line) -> write(log, line))) {
			SoakFleet fleet = new SoakFleet(processes, this.timeScale);
			fleet.start();
			Thread.sleep(WARM_UP_MILLIS);
			Path callers = target.resolve("callers.history.jsonl");
			LoadGenerator generator = run(fleet, callers);
			Thread.sleep(SETTLE_MILLIS);
			return checkHistories(target, generator) ? 0 : 1;
		}
	}

	private static void write(PrintWriter log, String line) {
		synchronized (log) {
			log.println(System.currentTimeMillis() + " " + line);
			log.flush();
		}
	}

	private LoadGenerator run(SoakFleet fleet, Path callers) throws Exception {
		LoadPlan plan = new LoadPlan(this.seed, this.ratePerSecond, this.seconds * MILLIS_PER_SECOND, "outlook",
				"council-notification", List.of("highways", "rm-sherwood"), 200_000);
		Path versions = callers.resolveSibling("versions.history.jsonl");
		try (HistoryWriter history = HistoryWriter.appendTo(callers);
				HistoryWriter inForce = HistoryWriter.appendTo(versions);
				VersionRecorder recorder = new VersionRecorder(fleet.processes(), inForce)) {
			LoadGenerator generator = new LoadGenerator(plan, fleet::callerAddresses, history);
			CompletableFuture<LoadStatistics> load = CompletableFuture.supplyAsync(() -> runLoad(generator));
			injectFaults(fleet, load);
			out().print(load.get().table());
			return generator;
		}
	}

	private static LoadStatistics runLoad(LoadGenerator generator) {
		try {
			return generator.run();
		}
		catch (IOException | InterruptedException ex) {
			throw new CompletionException(ex);
		}
	}

	private void injectFaults(SoakFleet fleet, CompletableFuture<LoadStatistics> load) throws Exception {
		SplittableRandom random = new SplittableRandom(this.seed);
		long endMillis = System.currentTimeMillis() + this.seconds * MILLIS_PER_SECOND;
		while (System.currentTimeMillis() < endMillis && !load.isDone() && !this.faults.isEmpty()) {
			SoakFault fault = this.faults.get(random.nextInt(this.faults.size()));
			out().println("fault " + fault);
			out().flush();
			fault.inject(fleet, this.unavailablePeriods, random);
			this.injectedCounts.merge(fault, 1, Integer::sum);
			Thread.sleep(500 + random.nextInt(3_000));
		}
	}

	private boolean checkHistories(Path target, LoadGenerator generator) throws IOException {
		List<Path> files;
		try (Stream<Path> all = Files.list(target)) {
			files = all.filter((file) -> file.toString().endsWith(".history.jsonl")).toList();
		}
		List<HistoryEvent> history = HistoryReader.read(files);
		List<Violation> violations = HistoryChecker.check(history,
				new CheckLimits(DEADLINE_GRACE_MILLIS, LEAVING_LIMIT_MILLIS, System.currentTimeMillis()));
		List<Violation> reported = violations.stream()
			.filter((violation) -> !isCoveredByUnavailability(violation, generator))
			.toList();
		out().println("faults injected " + this.injectedCounts);
		out().println("history events " + history.size() + ", deadline violations of unavailable instances ignored "
				+ (violations.size() - reported.size()) + ", violations " + reported.size());
		reported.stream().limit(MAX_SHOWN_VIOLATIONS).forEach((violation) -> out().println(violation));
		out().println("directory " + target);
		out().flush();
		return reported.isEmpty();
	}

	private boolean isCoveredByUnavailability(Violation violation, LoadGenerator generator) {
		return violation.promise() == Guarantee.ANSWERED_BY_DEADLINE && generator.findSend(violation.subject())
			.map((send) -> this.unavailablePeriods.overlaps(send.address(), send.sentEpochMillis(),
					send.deadlineEpochMillis() + DEADLINE_GRACE_MILLIS))
			.orElse(false);
	}

	private PrintWriter out() {
		return this.spec.commandLine().getOut();
	}

}
