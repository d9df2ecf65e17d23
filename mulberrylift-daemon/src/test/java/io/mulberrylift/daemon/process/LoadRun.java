package io.mulberrylift.daemon.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import io.mulberrylift.testkit.history.AnswerResult;
import io.mulberrylift.testkit.history.CheckLimits;
import io.mulberrylift.testkit.history.Guarantee;
import io.mulberrylift.testkit.history.HistoryChecker;
import io.mulberrylift.testkit.history.HistoryEvent;
import io.mulberrylift.testkit.history.HistoryReader;
import io.mulberrylift.testkit.history.HistoryWriter;
import io.mulberrylift.testkit.history.Violation;
import io.mulberrylift.testkit.load.LoadGenerator;
import io.mulberrylift.testkit.load.LoadPlan;
import io.mulberrylift.testkit.load.LoadSend;
import io.mulberrylift.testkit.load.LoadStatistics;

/**
 * Runs the load and the single requests of one test and checks the recorded history.
 *
 * <p>
 * Not safe for use by several threads.
 * </p>
 */
final class LoadRun implements AutoCloseable {

	private static final long DEADLINE_GRACE_MILLIS = 1_000;

	private static final long LEAVING_LIMIT_MILLIS = 3_000;

	private static final int LONG_PROMPT_TOKENS = 40_000;

	private final ProcessFleet fleet;

	private final Path file;

	private final HistoryWriter history;

	private final RecordingCaller caller;

	private final List<ExcludedPeriod> excludedPeriods = new ArrayList<>();

	private LoadGenerator generator;

	private CompletableFuture<LoadStatistics> load;

	LoadRun(ProcessFleet fleet, String name) {
		this.fleet = fleet;
		this.file = fleet.directory().resolve("callers-" + name + ".jsonl");
		this.history = HistoryWriter.appendTo(this.file);
		this.caller = new RecordingCaller(this.history);
	}

	/**
	 * Starts the load and waits for the first answers.
	 */
	void start(long seed, double ratePerSecond, long durationMillis) throws Exception {
		LoadPlan plan = new LoadPlan(seed, ratePerSecond, durationMillis, ProcessFleet.MODEL, ProcessFleet.SERVICE,
				List.of("highways", "rm-sherwood"), LONG_PROMPT_TOKENS);
		this.generator = new LoadGenerator(plan, this.fleet::callerAddresses, this.history);
		this.load = CompletableFuture.supplyAsync(this::runLoad);
		Conditions.await("the first answers", () -> !this.load.isDone() && sends().size() > ratePerSecond);
	}

	private LoadStatistics runLoad() {
		try {
			return this.generator.run();
		}
		catch (IOException | InterruptedException ex) {
			throw new CompletionException(ex);
		}
	}

	LoadStatistics await() throws Exception {
		return this.load.get();
	}

	RecordingCaller caller() {
		return this.caller;
	}

	/**
	 * Excludes sends to a frozen or killed instance from the deadline check in a period.
	 */
	void excludeDeadlines(String address, long fromEpochMillis, long toEpochMillis) {
		this.excludedPeriods.add(new ExcludedPeriod(address, fromEpochMillis, toEpochMillis));
	}

	/**
	 * Returns the answered sends.
	 * @return the sends in the order of their answers
	 */
	List<Send> sends() throws IOException {
		Map<String, HistoryEvent.Invoke> invokes = new HashMap<>();
		List<Send> sends = new ArrayList<>();
		for (HistoryEvent event : HistoryReader.read(List.of(this.file))) {
			if (event instanceof HistoryEvent.Invoke invoke) {
				invokes.put(invoke.sendId(), invoke);
			}
			else if (event instanceof HistoryEvent.Answer answer) {
				sends.add(new Send(invokes.get(answer.sendId()), answer.result(), address(answer.sendId())));
			}
		}
		return sends;
	}

	private String address(String sendId) {
		String single = this.caller.address(sendId);
		return (single != null) ? single : this.generator.findSend(sendId).map(LoadSend::address).orElseThrow();
	}

	List<HistoryEvent> history() throws IOException {
		return this.fleet.history(this.file);
	}

	/**
	 * Checks the history after all memory holds have been released. Fails if they are not
	 * released in time.
	 * @return the violated promises
	 */
	List<Violation> checkHistory() throws Exception {
		Conditions.await("all memory holds are released", () -> findViolations().stream()
			.noneMatch((violation) -> violation.promise() == Guarantee.HOLDS_RETURN));
		return findViolations();
	}

	private List<Violation> findViolations() throws IOException {
		CheckLimits limits = new CheckLimits(DEADLINE_GRACE_MILLIS, LEAVING_LIMIT_MILLIS, System.currentTimeMillis());
		List<HistoryEvent> events = history();
		Map<String, HistoryEvent.Invoke> invokes = new HashMap<>();
		events.stream()
			.filter(HistoryEvent.Invoke.class::isInstance)
			.map(HistoryEvent.Invoke.class::cast)
			.forEach((invoke) -> invokes.put(invoke.sendId(), invoke));
		return HistoryChecker.check(events, limits)
			.stream()
			.filter((violation) -> !concernsStoppedProcess(violation) && !isInExcludedPeriod(violation, invokes))
			.toList();
	}

	private boolean concernsStoppedProcess(Violation violation) {
		return violation.promise() == Guarantee.HOLDS_RETURN
				&& !this.fleet.processes().endpointIds().contains(violation.subject());
	}

	private boolean isInExcludedPeriod(Violation violation, Map<String, HistoryEvent.Invoke> invokes) {
		if (violation.promise() != Guarantee.ANSWERED_BY_DEADLINE) {
			return false;
		}
		HistoryEvent.Invoke invoke = invokes.get(violation.subject());
		String address = address(violation.subject());
		return this.excludedPeriods.stream()
			.anyMatch((period) -> period.address().equals(address)
					&& period.fromEpochMillis() <= invoke.deadlineEpochMillis() + DEADLINE_GRACE_MILLIS
					&& period.toEpochMillis() >= invoke.atEpochMillis());
	}

	@Override
	public void close() throws Exception {
		if (this.load != null) {
			this.load.get();
		}
		this.history.close();
	}

	/**
	 * An answered send.
	 *
	 * @param invoke the send
	 * @param result its result
	 * @param address address of the instance that received it
	 */
	record Send(HistoryEvent.Invoke invoke, AnswerResult result, String address) {

		boolean isModelRequest() {
			return invoke().key().isEmpty();
		}

	}

	private record ExcludedPeriod(String address, long fromEpochMillis, long toEpochMillis) {
	}

}
