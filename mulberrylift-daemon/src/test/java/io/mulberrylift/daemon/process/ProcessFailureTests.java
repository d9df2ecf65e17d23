package io.mulberrylift.daemon.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.mulberrylift.daemon.process.LoadRun.Send;
import io.mulberrylift.daemon.process.RecordingCaller.Alert;
import io.mulberrylift.daemon.process.RecordingCaller.Reply;
import io.mulberrylift.testkit.engine.AnswerText;
import io.mulberrylift.testkit.fleet.FleetDefaults;
import io.mulberrylift.testkit.fleet.InstanceProcess;
import io.mulberrylift.testkit.history.AnswerResult;
import io.mulberrylift.testkit.history.HistoryEvent;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a small fleet of real processes under load and failures. New instances grant
 * keys only after a delay, so tests that need the grants of all witness seats run late,
 * and the test that kills an instance runs last.
 */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class ProcessFailureTests {

	private static final int ORDER_LAST = Integer.MAX_VALUE;

	private static final int ORDER_WITH_ALL_SEATS = ORDER_LAST - 1;

	private static final long TEST_TIMEOUT_SECONDS = 120;

	private static final int EXIT_BY_SIGTERM = 143;

	private static final double REQUESTS_PER_SECOND = 10;

	private static final int LONG_ANSWER_TOKENS = 800;

	private static final int STREAM_EVENTS = 5;

	private static final long LIST_FRESHNESS_MILLIS = 5_000;

	private static final long LEAVING_LIMIT_MILLIS = 3_000;

	private static final double MAX_DISPATCHES_PER_REQUEST = 1.1;

	@TempDir
	private static Path directory;

	private static ProcessFleet fleet;

	private static ExecutorService senders;

	@BeforeAll
	static void startFleet() throws Exception {
		senders = Executors.newCachedThreadPool();
		fleet = new ProcessFleet(directory);
		fleet.start();
	}

	@AfterAll
	static void stopFleet() throws Exception {
		fleet.close();
		senders.shutdownNow();
	}

	@BeforeEach
	void restoreFleet() throws Exception {
		fleet.restore();
	}

	@Test
	@Order(ORDER_LAST)
	@Timeout(TEST_TIMEOUT_SECONDS)
	void killedInstanceLeavesCallersOfOthersUnaffected() throws Exception {
		try (LoadRun run = new LoadRun(fleet, "kill-instance")) {
			run.start(101, REQUESTS_PER_SECOND, 5_000);
			String killed = instance(0);
			String address = fleet.address(killed);
			run.excludeDeadlines(address, 0, Long.MAX_VALUE);
			fleet.processes().process(killed).kill();
			fleet.removeCallerAddress(killed);
			fleet.processes().killAndRemove(killed);
			fleet.startInstance(FleetDefaults.ZONES.get(0));
			print("kill-instance", run.await().table());
			assertThat(run.checkHistory()).isEmpty();
			List<Send> others = run.sends().stream().filter((send) -> !send.address().equals(address)).toList();
			assertThat(others).isNotEmpty().filteredOn(Send::isModelRequest).allMatch(ProcessFailureTests::isComplete);
		}
	}

	@Test
	@Order(ORDER_WITH_ALL_SEATS)
	@Timeout(TEST_TIMEOUT_SECONDS)
	void instanceThatWakesAfterTheListIsStaleRunsNoKeyAgain() throws Exception {
		try (LoadRun run = new LoadRun(fleet, "freeze-instance")) {
			fleet.awaitAllSeatsGranting();
			InstanceProcess frozen = fleet.processes().instance(instance(1));
			run.excludeDeadlines(frozen.callerAddress(), 0, Long.MAX_VALUE);
			delayServices(1_500);
			Alert running = RecordingCaller.newAlert();
			CompletableFuture<Reply> first = sendLater(run, frozen.callerAddress(), running);
			Conditions.await("the call is running", () -> runCount(run, running) == 1);
			frozen.process().suspend();
			List<Alert> frozenAlerts = List.of(RecordingCaller.newAlert(), RecordingCaller.newAlert());
			List<CompletableFuture<Reply>> delayedReplies = new ArrayList<>();
			frozenAlerts.forEach((alert) -> delayedReplies.add(sendLater(run, frozen.callerAddress(), alert)));
			long resumeMillis = System.currentTimeMillis() + LIST_FRESHNESS_MILLIS + 2_000;
			for (Alert alert : frozenAlerts) {
				assertThat(run.caller().send(address(0), alert)).matches(Reply::isComplete);
			}
			assertThat(run.caller().send(address(2), running).result()).isNotEqualTo(AnswerResult.NOT_RUN);
			Conditions.await("the list is stale", () -> System.currentTimeMillis() > resumeMillis);
			frozen.process().resume();
			first.get();
			for (CompletableFuture<Reply> reply : delayedReplies) {
				reply.get();
			}
			delayServices(0);
			assertThat(run.checkHistory()).isEmpty();
			assertThat(frozenAlerts).allMatch((alert) -> runCount(run, alert) == 1);
			assertThat(runCount(run, running)).isEqualTo(1);
		}
	}

	@Test
	@Timeout(TEST_TIMEOUT_SECONDS)
	void streamsGoOnAtAnotherEngineAfterTheirsWasKilled() throws Exception {
		try (LoadRun run = new LoadRun(fleet, "kill-engine")) {
			List<String> prompts = List.of(longAnswerPrompt("first"), longAnswerPrompt("second"),
					longAnswerPrompt("third"));
			CountDownLatch streaming = new CountDownLatch(prompts.size());
			AtomicReference<String> latest = new AtomicReference<>();
			List<CompletableFuture<Reply>> replies = new ArrayList<>();
			for (int i = 0; i < prompts.size(); i++) {
				String prompt = prompts.get(i);
				replies.add(streamLater(run, address(i), prompt, () -> {
					latest.set(prompt);
					streaming.countDown();
				}));
			}
			assertThat(streaming.await(60, TimeUnit.SECONDS)).isEqualTo(true);
			// On a busy machine earlier streams may have completed by now.
			String interruptedPrompt = latest.get();
			String killed = engines(run, interruptedPrompt).get(0);
			fleet.processes().killAndRemove(killed);
			for (int i = 0; i < prompts.size(); i++) {
				assertThat(replies.get(i).get().text()).isEqualTo(AnswerText.completeAnswer(ProcessFleet.MODEL,
						prompts.get(i), RecordingCaller.MAX_OUTPUT_TOKENS));
			}
			assertThat(run.checkHistory()).isEmpty();
			assertThat(engines(run, interruptedPrompt)).hasSizeGreaterThan(1).doesNotHaveDuplicates();
		}
	}

	@Test
	@Timeout(TEST_TIMEOUT_SECONDS)
	void gracefulShutdownUnderLoadCutsNothing() throws Exception {
		try (LoadRun run = new LoadRun(fleet, "shutdown")) {
			run.start(104, REQUESTS_PER_SECOND, 6_000);
			String leaving = instance(2);
			String address = fleet.address(leaving);
			Optional<Integer> exit = fleet.replace(leaving);
			String output = fleet.processes().process(leaving).output();
			fleet.processes().killAndRemove(leaving);
			print("shutdown exit code " + exit, run.await().table());
			assertThat(exit).isPresent();
			assertThat(exit.get()).isIn(0, EXIT_BY_SIGTERM);
			assertThat(output).contains("shutdown ended with all work finished");
			assertThat(run.checkHistory()).isEmpty();
			List<Send> sends = run.sends().stream().filter((send) -> send.address().equals(address)).toList();
			assertThat(sends).isNotEmpty()
				.extracting(Send::result)
				.isSubsetOf(AnswerResult.WHOLE, AnswerResult.NOT_RUN);
		}
	}

	@Test
	@Timeout(TEST_TIMEOUT_SECONDS)
	void leavingEngineGetsNoNewWork() throws Exception {
		try (LoadRun run = new LoadRun(fleet, "leaving-engine")) {
			run.start(105, REQUESTS_PER_SECOND, 7_000);
			String leaving = fleet.engines().get(0);
			long leftMillis = System.currentTimeMillis();
			fleet.processes().changeList(Map.of("leaving", Set.of(leaving)));
			print("leaving-engine", run.await().table());
			assertThat(run.checkHistory()).isEmpty();
			assertThat(run.history())
				.anyMatch((event) -> event instanceof HistoryEvent.Leaving mark && mark.endpoint().equals(leaving));
			List<HistoryEvent.NewWork> work = run.history()
				.stream()
				.filter(HistoryEvent.NewWork.class::isInstance)
				.map(HistoryEvent.NewWork.class::cast)
				.filter((event) -> event.atEpochMillis() > leftMillis + LEAVING_LIMIT_MILLIS)
				.toList();
			assertThat(work).isNotEmpty().noneMatch((event) -> event.endpoint().equals(leaving));
			fleet.processes().killAndRemove(leaving);
		}
	}

	@Test
	@Order(ORDER_WITH_ALL_SEATS)
	@Timeout(TEST_TIMEOUT_SECONDS)
	void cutZoneRunsNoKeyTwiceAndTakesTheConfigurationAfterHealing() throws Exception {
		try (LoadRun run = new LoadRun(fleet, "cut-zone")) {
			fleet.awaitAllSeatsGranting();
			run.start(106, REQUESTS_PER_SECOND, 9_000);
			String zone = FleetDefaults.ZONES.get(1);
			long before = fleet.configurationVersion(instance(1));
			fleet.processes().cutZone(zone, true);
			long partitionedMillis = System.currentTimeMillis();
			long published = fleet.publish();
			Conditions.await("the other zones apply the version",
					() -> fleet.configurationVersion(instance(0)) == published
							&& fleet.configurationVersion(instance(2)) == published);
			assertThat(fleet.configurationVersion(instance(1))).isEqualTo(before);
			Alert alert = RecordingCaller.newAlert();
			List<Reply> replies = List.of(run.caller().send(address(1), alert), run.caller().send(address(0), alert),
					run.caller().send(address(2), alert));
			assertThat(replies).filteredOn(Reply::isComplete).isNotEmpty();
			Conditions.await("the list is stale in the partitioned zone",
					() -> System.currentTimeMillis() > partitionedMillis + LIST_FRESHNESS_MILLIS);
			fleet.processes().cutZone(zone, false);
			Conditions.await("the partitioned zone applies the version",
					() -> fleet.configurationVersion(instance(1)) == published);
			Conditions.await("the version is recorded",
					() -> run.history()
						.stream()
						.anyMatch((event) -> event instanceof HistoryEvent.InForce inForce
								&& inForce.instance().equals(instance(1)) && inForce.version() == published));
			print("cut-zone", run.await().table());
			assertThat(run.checkHistory()).isEmpty();
			assertThat(runCount(run, alert)).isEqualTo(1);
		}
	}

	@Test
	@Timeout(TEST_TIMEOUT_SECONDS)
	void staleAndAbsentPlatformLeavesCallersUnaffected() throws Exception {
		try (LoadRun run = new LoadRun(fleet, "platform")) {
			run.start(107, REQUESTS_PER_SECOND, 9_000);
			long before = fleet.configurationVersion(instance(0));
			fleet.processes().controlPlatform("stale", Map.of("on", true));
			long published = fleet.publish();
			fleet.processes().controlPlatform("stale", Map.of("on", false));
			for (int i = 0; i < FleetDefaults.ZONES.size(); i++) {
				String id = instance(i);
				Conditions.await("the version is applied", () -> fleet.configurationVersion(id) == published);
			}
			fleet.processes().controlPlatform("down", Map.of("on", true));
			print("platform", run.await().table());
			fleet.processes().controlPlatform("down", Map.of("on", false));
			assertThat(published).isGreaterThan(before);
			assertThat(run.checkHistory()).isEmpty();
			assertThat(run.sends()).filteredOn(Send::isModelRequest).allMatch(ProcessFailureTests::isComplete);
		}
	}

	@Test
	@Timeout(TEST_TIMEOUT_SECONDS)
	void promptThatCrashesEnginesTakesTwoAtMost() throws Exception {
		try (LoadRun run = new LoadRun(fleet, "crash")) {
			String prompt = "marker-of-a-crash " + "road ".repeat(1_000);
			List<String> engines = fleet.engines();
			for (String engine : engines) {
				fleet.processes().controlEndpoint(engine, "crash-on-prompt", Map.of("marker", "marker-of-a-crash"));
			}
			for (int i = 0; i < 2 * FleetDefaults.ZONES.size(); i++) {
				Reply reply = run.caller().stream(address(i % FleetDefaults.ZONES.size()), prompt, (events) -> {
				});
				assertThat(reply.result()).isNotEqualTo(AnswerResult.WHOLE);
			}
			List<String> lost = engines.stream().filter((id) -> !fleet.processes().process(id).isAlive()).toList();
			assertThat(lost).hasSizeBetween(1, 2);
			Reply other = run.caller().stream(address(0), longAnswerPrompt("after"), (events) -> {
			});
			assertThat(other).matches(Reply::isComplete);
			assertThat(run.checkHistory()).isEmpty();
		}
	}

	@Test
	@Order(ORDER_WITH_ALL_SEATS)
	@Timeout(TEST_TIMEOUT_SECONDS)
	void rollingReplacementOfAllInstancesRefusesNoKey() throws Exception {
		try (LoadRun run = new LoadRun(fleet, "replace-all")) {
			fleet.awaitAllSeatsGranting();
			run.start(109, REQUESTS_PER_SECOND, 14_000);
			for (String id : fleet.processes().instanceIds()) {
				assertThat(fleet.replace(id)).isPresent();
				printSeats(id);
				fleet.processes().killAndRemove(id);
			}
			print("replace-all", run.await().table());
			fleet.processes().instanceIds().forEach(ProcessFailureTests::printSeats);
			assertThat(run.checkHistory()).isEmpty();
			List<Send> keys = run.sends().stream().filter((send) -> !send.isModelRequest()).toList();
			long refused = keys.stream()
				.map((send) -> send.invoke().key())
				.distinct()
				.filter((key) -> keys.stream().noneMatch((send) -> send.invoke().key().equals(key) && isComplete(send)))
				.count();
			print("replace-all", "sends with keys " + keys.size() + ", keys without an answer " + refused);
			assertThat(run.sends()).filteredOn(Send::isModelRequest).allMatch(ProcessFailureTests::isComplete);
			assertThat(refused).isZero();
		}
	}

	@Test
	@Timeout(TEST_TIMEOUT_SECONDS)
	void retriesStayFewWhenHalfOfTheEnginesAreKilled() throws Exception {
		try (LoadRun run = new LoadRun(fleet, "half-of-engines")) {
			fleet.startEngine(FleetDefaults.ZONES.get(0));
			long admittedBefore = counterTotal("request_admitted");
			long dispatchedBefore = counterTotal("request_dispatched");
			run.start(110, 2 * REQUESTS_PER_SECOND, 6_000);
			for (String engine : fleet.engines().subList(0, 2)) {
				fleet.processes().killAndRemove(engine);
			}
			print("half-of-engines", run.await().table());
			assertThat(run.checkHistory()).isEmpty();
			long admitted = counterTotal("request_admitted") - admittedBefore;
			long dispatched = counterTotal("request_dispatched") - dispatchedBefore;
			print("half-of-engines", "admitted " + admitted + ", dispatched " + dispatched);
			assertThat(admitted).isPositive();
			assertThat((double) dispatched / admitted).isLessThan(MAX_DISPATCHES_PER_REQUEST);
		}
	}

	private static long counterTotal(String counter) throws IOException {
		long total = 0;
		for (String id : fleet.processes().instanceIds()) {
			total += fleet.processes().readCounter(id, counter);
		}
		return total;
	}

	private static boolean isComplete(Send send) {
		return send.result() == AnswerResult.WHOLE;
	}

	private static String instance(int zone) {
		return fleet.instance(FleetDefaults.ZONES.get(zone)).orElseThrow();
	}

	private static String address(int zone) {
		return fleet.address(instance(zone));
	}

	private static void delayServices(long latencyMillis) throws IOException {
		for (String id : fleet.endpoints("notify")) {
			fleet.processes().controlEndpoint(id, "latency", Map.of("latencyMillis", latencyMillis));
		}
	}

	private static CompletableFuture<Reply> sendLater(LoadRun run, String address, Alert alert) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return run.caller().send(address, alert);
			}
			catch (Exception ex) {
				throw new CompletionException(ex);
			}
		}, senders);
	}

	private static CompletableFuture<Reply> streamLater(LoadRun run, String address, String prompt,
			Runnable streaming) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return run.caller().stream(address, prompt, (events) -> {
					if (events == STREAM_EVENTS) {
						streaming.run();
					}
				});
			}
			catch (Exception ex) {
				throw new CompletionException(ex);
			}
		}, senders);
	}

	private static String longAnswerPrompt(String name) {
		for (int i = 0;; i++) {
			String prompt = name + " " + i + " " + "ice ".repeat(500);
			if (AnswerText.answerTokens(AnswerText.promptHash(prompt),
					RecordingCaller.MAX_OUTPUT_TOKENS) >= LONG_ANSWER_TOKENS) {
				return prompt;
			}
		}
	}

	private static long runCount(LoadRun run, Alert alert) {
		try {
			return run.history()
				.stream()
				.filter((event) -> event instanceof HistoryEvent.Run ran && ran.key().equals(alert.key()))
				.count();
		}
		catch (IOException ex) {
			throw new CompletionException(ex);
		}
	}

	private static List<String> engines(LoadRun run, String prompt) throws IOException {
		long fingerprint = AnswerText.promptHash(prompt);
		return run.history()
			.stream()
			.filter((event) -> event instanceof HistoryEvent.Run ran && ran.fingerprint() == fingerprint)
			.map((event) -> ((HistoryEvent.Run) event).endpoint())
			.toList();
	}

	private static void printSeats(String id) {
		fleet.processes()
			.process(id)
			.output()
			.lines()
			.filter((line) -> line.contains("seat") || line.contains("shutdown"))
			.forEach((line) -> print("replace-all " + id, line));
	}

	private static void print(String test, String text) {
		System.out.println("process: " + test + ": " + text);
	}

}
