package io.mulberrylift.daemon.endpoint;

import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.model.AttemptFailure;
import io.mulberrylift.daemon.outbound.RecordingEventSink;
import io.mulberrylift.testkit.engine.EngineOptions;
import io.mulberrylift.testkit.engine.EngineServer;
import io.mulberrylift.testkit.history.HistoryWriter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link AttemptHandler} against the stand-in of a model engine.
 */
class StandInEngineTests {

	private static final double TIME_SCALE = 10;

	private static final String PROMPT = "p".repeat(400_000);

	private final EngineServer engine = new EngineServer(EngineOptions.of("e1", "m").withTimeScale(TIME_SCALE),
			HistoryWriter.none());

	@BeforeEach
	void start() {
		this.engine.start();
	}

	@AfterEach
	void stop() {
		this.engine.stop();
	}

	@Test
	void answerIsComplete() throws Exception {
		FakeExchange exchange = FakeExchange.model(PROMPT);
		try (AttemptHandlerFixture bench = new AttemptHandlerFixture(this.engine.address())) {
			bench.dispatchWithoutHolds(exchange);
			bench.events.next(AttemptEvent.Started.class);
			AttemptEvent.Finished finished = bench.events.next(AttemptEvent.Finished.class);
			assertThat(finished.promptTokens()).isEqualTo(PROMPT.length() / 4);
			assertThat(finished.outputTokens()).isEqualTo(exchange.acceptedTokens()).isPositive();
		}
	}

	@Test
	void cancelledAttemptFreesItsMemory() throws Exception {
		FakeExchange exchange = FakeExchange.model(PROMPT);
		try (AttemptHandlerFixture bench = new AttemptHandlerFixture(this.engine.address())) {
			long attemptId = bench.dispatchWithoutHolds(exchange);
			RecordingEventSink.await("memory taken", () -> this.engine.memory().usedTokens() > 0);
			bench.cancel(attemptId);
			RecordingEventSink.await("memory free", () -> this.engine.memory().usedTokens() == 0);
			RecordingEventSink.await("cancellation confirmed", () -> bench.canceller.pendingCancellations() == 0);
			assertThat(bench.events.pending().stream().filter((event) -> event instanceof AttemptEvent.Failed))
				.isEmpty();
		}
	}

	@Test
	void missingHoldIsRejected() throws Exception {
		try (AttemptHandlerFixture bench = new AttemptHandlerFixture(this.engine.address())) {
			bench.dispatch(FakeExchange.model(PROMPT));
			bench.expectFailure(AttemptFailure.REJECTED);
		}
	}

}
