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
 * Tests for {@link AttemptHandler} against the stand-in model engine.
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
		try (AttemptHandlerFixture fixture = new AttemptHandlerFixture(this.engine.address())) {
			fixture.dispatchWithoutHolds(exchange);
			fixture.events.next(AttemptEvent.Started.class);
			AttemptEvent.Finished finished = fixture.events.next(AttemptEvent.Finished.class);
			assertThat(finished.promptTokens()).isEqualTo(PROMPT.length() / 4);
			assertThat(finished.outputTokens()).isEqualTo(exchange.acceptedTokens()).isPositive();
		}
	}

	@Test
	void cancelledAttemptFreesItsMemory() throws Exception {
		FakeExchange exchange = FakeExchange.model(PROMPT);
		try (AttemptHandlerFixture fixture = new AttemptHandlerFixture(this.engine.address())) {
			long attemptId = fixture.dispatchWithoutHolds(exchange);
			RecordingEventSink.await("memory in use", () -> this.engine.memory().usedTokens() > 0);
			fixture.cancel(attemptId);
			RecordingEventSink.await("memory released", () -> this.engine.memory().usedTokens() == 0);
			RecordingEventSink.await("cancellation confirmed", () -> fixture.canceller.pendingCancellations() == 0);
			assertThat(fixture.events.pending().stream().filter((event) -> event instanceof AttemptEvent.Failed))
				.isEmpty();
		}
	}

	@Test
	void missingHoldIsRejected() throws Exception {
		try (AttemptHandlerFixture fixture = new AttemptHandlerFixture(this.engine.address())) {
			fixture.dispatch(FakeExchange.model(PROMPT));
			fixture.expectFailure(AttemptFailure.REJECTED);
		}
	}

}
