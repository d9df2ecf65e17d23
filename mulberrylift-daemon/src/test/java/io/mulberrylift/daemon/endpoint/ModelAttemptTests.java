package io.mulberrylift.daemon.endpoint;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.model.AttemptFailure;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.daemon.outbound.RawHttpServer;
import io.mulberrylift.daemon.outbound.RecordingEventSink;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ModelAttempt} against engines that close the connection at any byte.
 */
class ModelAttemptTests {

	private static final String FIRST = "{\"type\":\"tokens\",\"offset\":0,\"text\":[\"a\",\"b\"]}\n";

	private static final String SECOND = "{\"type\":\"tokens\",\"offset\":2,\"text\":[\"c\"]}\n";

	private static final String END = "{\"type\":\"end\",\"finishReason\":\"stop\",\"promptTokens\":5,"
			+ "\"cachedTokens\":4,\"outputTokens\":3}\n";

	private final FakeExchange exchange = FakeExchange.model("hello");

	private static RawHttpServer engine(RawHttpServer.Script attempts) throws IOException {
		return new RawHttpServer((request, out) -> {
			if (request.method().equals("DELETE")) {
				RawHttpServer.write(out, "HTTP/1.1 204 X\r\n\r\n");
			}
			else {
				attempts.serve(request, out);
			}
		});
	}

	private static RawHttpServer streaming(String... chunks) throws IOException {
		return engine((request, out) -> {
			RawHttpServer.startStream(out);
			for (String chunk : chunks) {
				RawHttpServer.chunk(out, chunk);
			}
			RawHttpServer.endStream(out);
		});
	}

	@Test
	void completeAnswerReachesTheCaller() throws Exception {
		try (RawHttpServer engine = streaming(FIRST.substring(0, 7), FIRST.substring(7) + SECOND, "\n" + END);
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			long attemptId = fixture.dispatch(this.exchange);
			assertThat(fixture.events.next(AttemptEvent.Started.class).attemptId()).isEqualTo(attemptId);
			AttemptEvent.Finished finished = fixture.events.next(AttemptEvent.Finished.class);
			assertThat(finished.promptTokens()).isEqualTo(5);
			assertThat(finished.cachedTokens()).isEqualTo(4);
			assertThat(finished.outputTokens()).isEqualTo(3);
			assertThat(finished.answer()).isPresent();
			assertThat(this.exchange.text()).isEqualTo("abc");
			assertThat(this.exchange.finishReason()).isEqualTo("stop");
			assertThat(fixture.progressTokens).hasValue(3);
			assertThat(fixture.handler.runningAttempts()).isZero();
			assertThat(fixture.canceller.pendingCancellations()).isZero();
		}
	}

	@Test
	void bodyFollowsTheProtocol() throws Exception {
		String prompt = "\"\\\n\u0001" + "x".repeat(16_379) + "\ud83d\ude00\u00e9".repeat(20_000) + "\ud800!";
		try (RawHttpServer engine = streaming(FIRST + SECOND + END);
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			fixture.dispatch(FakeExchange.model(prompt));
			fixture.events.next(AttemptEvent.Started.class);
			RawHttpServer.Request request = engine.requests().get(0);
			JsonNode body = new ObjectMapper().readTree(request.body());
			assertThat(request.path()).isEqualTo("/engine/v1/attempts");
			assertThat(request.headers()).containsEntry("from-zone", "z1");
			assertThat(body.get("prompt").textValue()).isEqualTo(prompt);
			assertThat(body.get("attempt").textValue()).isEqualTo("i 1/42/1");
			assertThat(body.get("prefixBlocks").toString()).isEqualTo("[\"000000000000001f\",\"ffffffffffffffff\"]");
			assertThat(body.get("holds").toString())
				.isEqualTo("[{\"endpoint\":\"e1\",\"owner\":\"i 1\",\"ownerIncarnation\":42,\"holdId\":9}]");
			assertThat(body.get("priority").intValue()).isEqualTo(3);
		}
	}

	@Test
	void refusedConnectionIsNotSent() throws Exception {
		int freePort;
		try (ServerSocket socket = new ServerSocket(0)) {
			freePort = socket.getLocalPort();
		}
		try (AttemptHandlerFixture fixture = new AttemptHandlerFixture("127.0.0.1:" + freePort)) {
			fixture.dispatch(this.exchange);
			fixture.expectFailure(AttemptFailure.NOT_SENT);
			assertThat(fixture.canceller.pendingCancellations()).isZero();
		}
	}

	@Test
	void requestThatIsTooLateIsNotSent() throws Exception {
		try (RawHttpServer engine = streaming(FIRST + SECOND + END);
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			fixture.nowMillis.set(11);
			fixture.dispatch(this.exchange, 1_000, 10);
			fixture.expectFailure(AttemptFailure.NOT_SENT);
			assertThat(engine.requests()).isEmpty();
		}
	}

	@Test
	void connectionClosedBeforeTheAnswerIsLostAndNotRepeated() throws Exception {
		try (RawHttpServer engine = engine((request, out) -> request.socket().close());
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			fixture.dispatch(this.exchange);
			fixture.expectFailure(AttemptFailure.CONNECTION_LOST);
			RecordingEventSink.await("cancellation confirmed twice", () -> engine.requests("DELETE").size() == 2);
			assertThat(engine.requests("DELETE").get(0).path()).isEqualTo("/engine/v1/attempts/i%201%2F42%2F1");
			assertThat(engine.requests("POST")).hasSize(1);
			RecordingEventSink.await("cancellation removed", () -> fixture.canceller.pendingCancellations() == 0);
		}
	}

	@Test
	void connectionClosedAfterTheHeadIsLost() throws Exception {
		CountDownLatch tokensAccepted = new CountDownLatch(1);
		try (RawHttpServer engine = engine((request, out) -> {
			RawHttpServer.startStream(out);
			RawHttpServer.chunk(out, FIRST);
			await(tokensAccepted);
			request.socket().close();
		}); AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			fixture.dispatch(this.exchange);
			fixture.events.next(AttemptEvent.Started.class);
			RecordingEventSink.await("tokens accepted", () -> this.exchange.acceptedTokens() == 2);
			tokensAccepted.countDown();
			assertThat(fixture.expectFailure(AttemptFailure.CONNECTION_LOST).deliveredTokens()).isEqualTo(2);
		}
	}

	@Test
	void pooledConnectionThatBreaksOnTheNextRequestIsLostAndNotRepeated() throws Exception {
		AtomicInteger attempts = new AtomicInteger();
		try (RawHttpServer engine = engine((request, out) -> {
			if (attempts.incrementAndGet() > 1) {
				request.socket().close();
				return;
			}
			RawHttpServer.reply(out, 429, "", "{}");
		}); AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			fixture.dispatch(this.exchange);
			fixture.expectFailure(AttemptFailure.TURNED_AWAY);
			fixture.dispatch(this.exchange);
			fixture.expectFailure(AttemptFailure.CONNECTION_LOST);
			assertThat(attempts).hasValue(2);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "", FIRST, FIRST + "{\"type\":\"tokens\",\"offset\":3,\"text\":[\"d\"]}\n",
			FIRST + "{\"type\":\n" + SECOND + END, FIRST + END, FIRST + SECOND + "[]\n" + END,
			FIRST + "{\"type\":\"tokens\",\"offset\":\"2\",\"text\":[\"c\"]}\n" + END })
	void incompleteAnswerIsReportedAsTruncated(String answer) throws Exception {
		try (RawHttpServer engine = streaming(answer + "\n");
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			fixture.dispatch(this.exchange);
			if (!answer.isEmpty()) {
				fixture.events.next(AttemptEvent.Started.class);
			}
			fixture.expectFailure(AttemptFailure.TRUNCATED);
			RecordingEventSink.await("cancelled at the engine", () -> engine.requests("DELETE").size() == 1);
		}
	}

	/**
	 * Failure: an earlier answer, written once more before that to the next attempt on
	 * its connection, was the answer to the next attempt, which the engine had refused.
	 */
	@Test
	void answerThatIsRepeatedIsNotTheAnswerToTheNextAttempt() throws Exception {
		ThreadLocal<Boolean> answered = ThreadLocal.withInitial(() -> false);
		AtomicInteger attempts = new AtomicInteger();
		try (RawHttpServer engine = engine((request, out) -> {
			boolean first = attempts.incrementAndGet() == 1;
			if (first || answered.get()) {
				RawHttpServer.startStream(out);
				RawHttpServer.chunk(out, FIRST + SECOND + END);
				RawHttpServer.endStream(out);
				answered.set(true);
			}
			if (!first) {
				RawHttpServer.reply(out, 429, "", "{}");
			}
		}); AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			fixture.dispatch(this.exchange);
			fixture.events.next(AttemptEvent.Started.class);
			fixture.events.next(AttemptEvent.Finished.class);
			FakeExchange next = FakeExchange.model("next");
			fixture.dispatch(next);
			fixture.expectFailure(AttemptFailure.TURNED_AWAY);
			assertThat(next.text()).isEmpty();
		}
	}

	@Test
	void gapIsReportedWithItsOffsets() throws Exception {
		try (RawHttpServer engine = streaming(FIRST + "{\"type\":\"tokens\",\"offset\":3,\"text\":[\"d\"]}\n");
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			fixture.dispatch(this.exchange);
			fixture.events.next(AttemptEvent.Started.class);
			assertThat(fixture.expectFailure(AttemptFailure.TRUNCATED).detail()).isEqualTo("tokens 2 to 3 are missing");
		}
	}

	@Test
	void chunkBeingProcessedDuringCancelIsDropped() throws Exception {
		CountDownLatch dispatched = new CountDownLatch(1);
		try (RawHttpServer engine = engine((request, out) -> {
			await(dispatched);
			RawHttpServer.startStream(out);
			RawHttpServer.chunk(out, FIRST);
		}); AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			long attemptId = fixture.dispatch(this.exchange);
			this.exchange.onNextAcceptedTokensCall(() -> fixture.cancel(attemptId));
			dispatched.countDown();
			RecordingEventSink.await("cancelled at the engine", () -> engine.requests("DELETE").size() == 1);
			assertThat(this.exchange.text()).isEmpty();
			assertThat(fixture.events.pending()).isEmpty();
		}
	}

	@Test
	void lineThatIsTooLongIsTruncated() throws Exception {
		String blanks = " ".repeat(256 * 1_024);
		try (RawHttpServer engine = streaming(blanks, blanks, blanks, blanks, blanks, FIRST + SECOND + END);
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			fixture.dispatch(this.exchange);
			fixture.expectFailure(AttemptFailure.TRUNCATED);
		}
	}

	@Test
	void doubledTokensReachTheCallerOnce() throws Exception {
		try (RawHttpServer engine = streaming(FIRST + FIRST + SECOND + END);
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			fixture.dispatch(this.exchange);
			fixture.events.next(AttemptEvent.Started.class);
			fixture.events.next(AttemptEvent.Finished.class);
			assertThat(this.exchange.text()).isEqualTo("abc");
		}
	}

	@ParameterizedTest
	@CsvSource({ "429,TURNED_AWAY", "503,DRAINING", "400,REJECTED", "422,REJECTED", "500,ENDPOINT_ERROR",
			"404,ENDPOINT_ERROR" })
	void statusDecidesTheFailure(int status, AttemptFailure failure) throws Exception {
		try (RawHttpServer engine = engine(
				(request, out) -> RawHttpServer.reply(out, status, "", "{\"detail\":\"d\",\"retryAfterMillis\":70}"));
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			fixture.dispatch(this.exchange);
			AttemptEvent.Failed failed = fixture.expectFailure(failure);
			assertThat(failed.retryAfterMillis()).hasValue(70);
			assertThat(failed.detail()).isEqualTo("d");
		}
	}

	@Test
	void statusHoldsWhenTheBodyIsCutOff() throws Exception {
		try (RawHttpServer engine = engine((request, out) -> {
			RawHttpServer.write(out, "HTTP/1.1 429 X\r\nContent-Length: 100\r\n\r\n{\"detail\"");
			request.socket().close();
		}); AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			fixture.dispatch(this.exchange);
			fixture.expectFailure(AttemptFailure.TURNED_AWAY);
		}
	}

	@Test
	void errorLineIsAnEndpointError() throws Exception {
		try (RawHttpServer engine = streaming(FIRST + "{\"type\":\"error\",\"detail\":\"out of memory\"}\n");
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			fixture.dispatch(this.exchange);
			fixture.events.next(AttemptEvent.Started.class);
			AttemptEvent.Failed failed = fixture.expectFailure(AttemptFailure.ENDPOINT_ERROR);
			assertThat(failed.detail()).isEqualTo("out of memory");
			assertThat(failed.deliveredTokens()).isEqualTo(2);
		}
	}

	@Test
	void unresponsiveEngineIsReportedAsTimeout() throws Exception {
		CountDownLatch finished = new CountDownLatch(1);
		try (RawHttpServer engine = engine((request, out) -> await(finished));
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			fixture.dispatch(this.exchange, 200, 0);
			fixture.expectFailure(AttemptFailure.RESPONSE_TIMEOUT);
			finished.countDown();
		}
	}

	@Test
	void slowCallerStopsTheEngineAndLosesNothing() throws Exception {
		int chunks = 4_000;
		String token = "t".repeat(2_000);
		AtomicInteger written = new AtomicInteger();
		try (RawHttpServer engine = engine((request, out) -> {
			RawHttpServer.startStream(out);
			for (int i = 0; i < chunks; i++) {
				RawHttpServer.chunk(out, "{\"type\":\"tokens\",\"offset\":" + i + ",\"text\":[\"" + token + "\"]}\n");
				written.incrementAndGet();
			}
			RawHttpServer.chunk(out, END.replace("\"outputTokens\":3", "\"outputTokens\":" + chunks));
			RawHttpServer.endStream(out);
		}); AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			this.exchange.pause();
			fixture.dispatch(this.exchange);
			fixture.events.next(AttemptEvent.Started.class);
			awaitNoProgress(written);
			assertThat(written.get()).isLessThan(chunks);
			assertThat(this.exchange.chunksAcceptedWhilePaused()).isEqualTo(1);
			this.exchange.resume();
			fixture.events.next(AttemptEvent.Finished.class);
			assertThat(this.exchange.text()).isEqualTo(token.repeat(chunks));
		}
	}

	private static void awaitNoProgress(AtomicInteger counter) throws InterruptedException {
		int before = -1;
		while (counter.get() != before) {
			before = counter.get();
			Thread.sleep(500);
		}
	}

	@Test
	void nothingReachesTheCallerAfterCancel() throws Exception {
		CountDownLatch cancelled = new CountDownLatch(1);
		CountDownLatch connectionClosed = new CountDownLatch(1);
		AtomicInteger deletes = new AtomicInteger();
		try (RawHttpServer engine = new RawHttpServer((request, out) -> {
			if (request.method().equals("DELETE")) {
				int status = (deletes.incrementAndGet() > 2) ? 204 : 500;
				RawHttpServer.write(out, "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
				return;
			}
			RawHttpServer.startStream(out);
			RawHttpServer.chunk(out, FIRST);
			await(cancelled);
			writeUntilClosed(out, connectionClosed);
		}); AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			long attemptId = fixture.dispatch(this.exchange);
			fixture.events.next(AttemptEvent.Started.class);
			RecordingEventSink.await("tokens accepted", () -> this.exchange.acceptedTokens() == 2);
			fixture.cancel(attemptId);
			cancelled.countDown();
			RecordingEventSink.await("connection closed", () -> connectionClosed.getCount() == 0);
			RecordingEventSink.await("cancellation confirmed", () -> fixture.canceller.pendingCancellations() == 0);
			assertThat(deletes).hasValue(3);
			assertThat(this.exchange.text()).isEqualTo("ab");
			assertThat(fixture.events.pending()).isEmpty();
		}
	}

	private static void writeUntilClosed(OutputStream out, CountDownLatch closed) {
		try {
			while (true) {
				RawHttpServer.chunk(out, SECOND);
				Thread.sleep(1);
			}
		}
		catch (IOException | InterruptedException ex) {
			closed.countDown();
		}
	}

	@Test
	void cancellationIsDroppedWhenTheEndpointIsNoLongerListed() throws Exception {
		AtomicInteger deletes = new AtomicInteger();
		try (RawHttpServer engine = new RawHttpServer((request, out) -> {
			if (request.method().equals("DELETE")) {
				deletes.incrementAndGet();
			}
			request.socket().close();
		}); AttemptHandlerFixture fixture = new AttemptHandlerFixture(engine.address())) {
			fixture.dispatch(this.exchange);
			fixture.expectFailure(AttemptFailure.CONNECTION_LOST);
			RecordingEventSink.await("repeated cancellation", () -> deletes.get() > 1);
			assertThat(fixture.canceller.pendingCancellations()).isEqualTo(1);
			fixture.directory.update(FleetList.EMPTY);
			RecordingEventSink.await("cancellation removed", () -> fixture.canceller.pendingCancellations() == 0);
		}
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Test
	void unlistedEndpointIsNotSent() throws Exception {
		try (AttemptHandlerFixture fixture = new AttemptHandlerFixture("not an address")) {
			fixture.dispatch(this.exchange);
			assertThat(fixture.expectFailure(AttemptFailure.NOT_SENT).detail()).contains("not listed");
		}
	}

	@Test
	void hopByHopHeadersAreDropped() {
		Map<String, List<String>> headers = Map.of("Connection", List.of("X-Hop, close"), "X-Hop", List.of("1"), "TE",
				List.of("trailers"), "Idempotency-Key", List.of("k"));
		assertThat(HopByHopHeaders.endToEnd(headers)).containsOnlyKeys("Idempotency-Key");
	}

}
