package io.mulberrylift.testkit.history;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.testkit.engine.AnswerText;
import io.mulberrylift.testkit.service.ServiceReceipt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link HistoryChecker}: a history without violations, and for each guarantee
 * histories that violate it.
 */
class HistoryCheckerTests {

	private static final String MODEL = "forecast";

	private static final int MAX_OUTPUT_TOKENS = 50;

	private static final long DEADLINE = 1_000;

	private static final CheckLimits LIMITS = new CheckLimits(100, 3_000, 100_000);

	private final List<HistoryEvent> history = new ArrayList<>();

	@Test
	void historyThatKeepsAllGuaranteesHasNoViolation() {
		this.history.add(new HistoryEvent.Started(0, "engine-1", 1));
		this.history.add(new HistoryEvent.Hold(5, "engine-1", "instance-1", 1, 1, 100));
		model(10, "send-1", 7);
		run(20, "engine-1", 7, "");
		answer(30, "send-1", AnswerResult.WHOLE, modelHash(7));
		service(40, "send-2", 8, "key-1");
		run(50, "service-1", 8, "key-1");
		answer(60, "send-2", AnswerResult.UNKNOWN, 0);
		service(70, "send-3", 8, "key-1");
		answer(80, "send-3", AnswerResult.WHOLE, serviceHash(8));
		this.history.add(new HistoryEvent.Release(90, "engine-1", "instance-1", 1, 1, false));
		this.history.add(new HistoryEvent.Leaving(100, "engine-1", true));
		this.history.add(new HistoryEvent.NewWork(3_100, "engine-1", "e-9"));
		this.history.add(new HistoryEvent.InForce(100, "instance-1", 1));
		this.history.add(new HistoryEvent.InForce(200, "instance-1", 2));
		assertThat(HistoryChecker.check(this.history, LIMITS)).isEmpty();
	}

	@Test
	void partialAnswerIsNotComplete() {
		model(10, "send-1", 7);
		int tokens = AnswerText.answerTokens(7, MAX_OUTPUT_TOKENS);
		long partHash = AnswerText.promptHash(AnswerText.text(MODEL, 7, 0, tokens - 1));
		answer(20, "send-1", AnswerResult.WHOLE, partHash);
		assertSingleViolation(Guarantee.WHOLE_OWN_ANSWER, "send-1");
	}

	@Test
	void answerToAnotherRequestIsFound() {
		model(10, "send-1", 7);
		model(10, "send-2", 8);
		answer(20, "send-1", AnswerResult.WHOLE, modelHash(8));
		answer(20, "send-2", AnswerResult.WHOLE, modelHash(8));
		assertSingleViolation(Guarantee.WHOLE_OWN_ANSWER, "send-1");
	}

	@Test
	void answerWithoutASendIsFound() {
		answer(20, "send-9", AnswerResult.FAILED, 0);
		assertSingleViolation(Guarantee.WHOLE_OWN_ANSWER, "send-9");
	}

	@Test
	void secondAnswerToOneSendIsFound() {
		model(10, "send-1", 7);
		answer(20, "send-1", AnswerResult.WHOLE, modelHash(7));
		answer(21, "send-1", AnswerResult.FAILED, 0);
		assertSingleViolation(Guarantee.WHOLE_OWN_ANSWER, "send-1");
	}

	@Test
	void secondRunOfAKeyIsFoundAcrossEndpointsAndSends() {
		service(10, "send-1", 7, "key-1");
		answer(15, "send-1", AnswerResult.UNKNOWN, 0);
		service(20, "send-2", 7, "key-1");
		answer(30, "send-2", AnswerResult.WHOLE, serviceHash(7));
		run(12, "service-1", 7, "key-1");
		run(25, "service-2", 7, "key-1");
		assertSingleViolation(Guarantee.AT_MOST_ONCE, "key-1");
	}

	@Test
	void secondRunOfANonIdempotentPromptIsFound() {
		this.history.add(new HistoryEvent.Invoke(10, "send-1", WorkKind.MODEL, MODEL, 7, MAX_OUTPUT_TOKENS, "key-1",
				false, DEADLINE));
		answer(30, "send-1", AnswerResult.WHOLE, modelHash(7));
		run(12, "engine-1", 7, "");
		run(13, "engine-2", 7, "");
		assertSingleViolation(Guarantee.AT_MOST_ONCE, "key-1");
	}

	@Test
	void runAfterTheOnlySendWasRefusedIsFound() {
		service(10, "send-1", 7, "key-1");
		answer(20, "send-1", AnswerResult.NOT_RUN, 0);
		run(50, "service-1", 7, "key-1");
		assertSingleViolation(Guarantee.NOT_RUN_IS_TRUE, "send-1");
	}

	@Test
	void refusalAfterAnEarlierSendRanIsFound() {
		service(10, "send-1", 7, "key-1");
		run(12, "service-1", 7, "key-1");
		answer(15, "send-1", AnswerResult.UNKNOWN, 0);
		service(20, "send-2", 7, "key-1");
		answer(25, "send-2", AnswerResult.NOT_RUN, 0);
		assertSingleViolation(Guarantee.NOT_RUN_IS_TRUE, "send-2");
	}

	@Test
	void refusedSendIsNotChargedWithTheRunOfALaterSend() {
		service(10, "send-1", 7, "key-1");
		answer(15, "send-1", AnswerResult.NOT_RUN, 0);
		service(20, "send-2", 7, "key-1");
		run(22, "service-1", 7, "key-1");
		answer(25, "send-2", AnswerResult.WHOLE, serviceHash(7));
		service(26, "send-3", 7, "key-2");
		answer(27, "send-3", AnswerResult.NOT_RUN, 0);
		assertThat(HistoryChecker.check(this.history, LIMITS)).isEmpty();
	}

	@Test
	void refusedPromptThatRanIsFound() {
		model(10, "send-1", 7);
		answer(20, "send-1", AnswerResult.NOT_RUN, 0);
		run(19, "engine-1", 7, "");
		assertSingleViolation(Guarantee.NOT_RUN_IS_TRUE, "send-1");
	}

	@Test
	void missingAnswerIsFound() {
		model(10, "send-1", 7);
		assertSingleViolation(Guarantee.ANSWERED_BY_DEADLINE, "send-1");
	}

	@Test
	void lateAnswerIsFound() {
		model(10, "send-1", 7);
		answer(DEADLINE + 101, "send-1", AnswerResult.EXPIRED, 0);
		assertSingleViolation(Guarantee.ANSWERED_BY_DEADLINE, "send-1");
	}

	@Test
	void holdThatIsNeverReleasedIsFound() {
		this.history.add(new HistoryEvent.Hold(5, "engine-1", "instance-1", 1, 1, 100));
		this.history.add(new HistoryEvent.Hold(6, "engine-1", "instance-1", 2, 1, 100));
		this.history.add(new HistoryEvent.Release(9, "engine-1", "instance-1", 2, 1, false));
		assertSingleViolation(Guarantee.HOLDS_RETURN, "engine-1");
	}

	@Test
	void holdsEndWithTheEnginesProcess() {
		this.history.add(new HistoryEvent.Hold(5, "engine-1", "instance-1", 1, 1, 100));
		this.history.add(new HistoryEvent.Started(9, "engine-1", 2));
		assertThat(HistoryChecker.check(this.history, LIMITS)).isEmpty();
	}

	@Test
	void newWorkOnALeavingEndpointIsFound() {
		this.history.add(new HistoryEvent.Leaving(100, "engine-1", true));
		this.history.add(new HistoryEvent.NewWork(3_101, "engine-1", "e-1"));
		assertSingleViolation(Guarantee.LEAVING_GETS_NO_NEW_WORK, "engine-1");
	}

	@Test
	void endpointThatIsNoLongerLeavingMayReceiveNewWork() {
		this.history.add(new HistoryEvent.Leaving(100, "engine-1", true));
		this.history.add(new HistoryEvent.Leaving(200, "engine-1", false));
		this.history.add(new HistoryEvent.NewWork(9_000, "engine-1", "e-1"));
		assertThat(HistoryChecker.check(this.history, LIMITS)).isEmpty();
	}

	@Test
	void revertedConfigurationIsFound() {
		this.history.add(new HistoryEvent.InForce(100, "instance-1", 2));
		this.history.add(new HistoryEvent.InForce(100, "instance-2", 1));
		this.history.add(new HistoryEvent.InForce(200, "instance-1", 1));
		assertSingleViolation(Guarantee.CONFIGURATION_NEVER_REVERTS, "instance-1");
	}

	@Test
	void historyIsReadAsItWasWritten(@TempDir Path directory) throws IOException {
		historyThatKeepsAllGuaranteesHasNoViolation();
		Path file = directory.resolve("history.jsonl");
		try (HistoryWriter writer = HistoryWriter.appendTo(file)) {
			this.history.forEach(writer::write);
		}
		Files.writeString(file, "{\"type\":\"run", StandardOpenOption.APPEND);
		assertThat(HistoryReader.read(List.of(file))).containsExactlyInAnyOrderElementsOf(this.history);
	}

	private void assertSingleViolation(Guarantee promise, String subject) {
		assertThat(HistoryChecker.check(this.history, LIMITS)).singleElement().satisfies((violation) -> {
			assertThat(violation.promise()).isEqualTo(promise);
			assertThat(violation.subject()).isEqualTo(subject);
		});
	}

	private void model(long at, String sendId, long fingerprint) {
		this.history.add(new HistoryEvent.Invoke(at, sendId, WorkKind.MODEL, MODEL, fingerprint, MAX_OUTPUT_TOKENS, "",
				true, DEADLINE));
	}

	private void service(long at, String sendId, long fingerprint, String key) {
		this.history.add(
				new HistoryEvent.Invoke(at, sendId, WorkKind.SERVICE, "tickets", fingerprint, 0, key, false, DEADLINE));
	}

	private void run(long at, String endpoint, long fingerprint, String key) {
		this.history.add(new HistoryEvent.Run(at, endpoint, "e-" + this.history.size(), fingerprint, key));
	}

	private void answer(long at, String sendId, AnswerResult result, long textHash) {
		this.history.add(new HistoryEvent.Answer(at, sendId, result, textHash));
	}

	private static long modelHash(long fingerprint) {
		int tokens = AnswerText.answerTokens(fingerprint, MAX_OUTPUT_TOKENS);
		return AnswerText.promptHash(AnswerText.text(MODEL, fingerprint, 0, tokens));
	}

	private static long serviceHash(long fingerprint) {
		return AnswerText.promptHash(ServiceReceipt.text(fingerprint));
	}

}
