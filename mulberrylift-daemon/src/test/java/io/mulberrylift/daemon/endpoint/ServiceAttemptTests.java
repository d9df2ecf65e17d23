package io.mulberrylift.daemon.endpoint;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.model.AttemptFailure;
import io.mulberrylift.daemon.exchange.ServiceCall;
import io.mulberrylift.daemon.outbound.RawHttpServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServiceAttempt}.
 */
class ServiceAttemptTests {

	private final FakeExchange exchange = FakeExchange.service(new ServiceCall("POST", "tickets/1?q=a%20b",
			Map.of("Idempotency-Key", List.of("k"), "Content-Type", List.of("text/plain"), "Host", List.of("x")),
			"body".getBytes(StandardCharsets.UTF_8)));

	private AttemptEvent end;

	@Test
	void callAndReplyArePassedOn() throws Exception {
		try (RawHttpServer service = new RawHttpServer(
				(request, out) -> RawHttpServer.reply(out, 404, "X-A: 1\r\nKeep-Alive: 1\r\n", "gone"));
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(service.address())) {
			fixture.dispatch(this.exchange);
			fixture.events.next(AttemptEvent.Started.class);
			fixture.events.next(AttemptEvent.Finished.class);
			RawHttpServer.Request request = service.requests().get(0);
			assertThat(request.method()).isEqualTo("POST");
			assertThat(request.path()).isEqualTo("/tickets/1?q=a%20b");
			assertThat(request.headers()).containsEntry("idempotency-key", "k")
				.containsEntry("content-type", "text/plain")
				.containsEntry("host", service.address());
			assertThat(request.body()).isEqualTo("body");
			assertThat(this.exchange.reply().httpStatus()).isEqualTo(404);
			assertThat(this.exchange.reply().headers()).containsOnlyKeys("x-a");
			assertThat(this.exchange.reply().body()).asString().isEqualTo("gone");
		}
	}

	@Test
	void callThatDidNotRunIsTurnedAway() throws Exception {
		try (RawHttpServer service = new RawHttpServer(
				(request, out) -> RawHttpServer.reply(out, 503, "Not-Run: true\r\nRetry-After: 2\r\n", "busy"));
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(service.address())) {
			fixture.dispatch(this.exchange);
			assertThat(fixture.expectFailure(AttemptFailure.TURNED_AWAY).retryAfterMillis()).hasValue(2_000);
			assertThat(this.exchange.reply()).isNull();
		}
	}

	/**
	 * Failure: a refusal that a service wrote once more on its kept connection was the
	 * reply to the next call, which then counted as not run.
	 */
	@Test
	void refusalThatIsRepeatedIsNotTheReplyToTheNextCall() throws Exception {
		AtomicInteger calls = new AtomicInteger();
		AtomicReference<RawHttpServer> server = new AtomicReference<>();
		try (RawHttpServer service = new RawHttpServer((request, out) -> {
			int call = calls.incrementAndGet();
			if (server.get().connections() == 1) {
				RawHttpServer.reply(out, 503, "Not-Run: true\r\n", "busy");
			}
			if (call > 1) {
				RawHttpServer.reply(out, 200, "", "ran");
			}
		}); AttemptHandlerFixture fixture = new AttemptHandlerFixture(service.address())) {
			server.set(service);
			fixture.dispatch(this.exchange);
			fixture.expectFailure(AttemptFailure.TURNED_AWAY);
			FakeExchange next = FakeExchange
				.service(new ServiceCall("POST", "tickets/2", Map.of(), "body".getBytes(StandardCharsets.UTF_8)));
			fixture.dispatch(next);
			fixture.events.next(AttemptEvent.Started.class);
			fixture.events.next(AttemptEvent.Finished.class);
			assertThat(next.reply().body()).asString().isEqualTo("ran");
		}
	}

	/**
	 * Failure: an earlier reply, written once more before that to the next call on its
	 * connection, was the reply to the next call, so that a failed call counted as a
	 * success.
	 */
	@ParameterizedTest
	@CsvSource({ "200,500", "500,200", "200,200" })
	void replyThatIsRepeatedIsNotTheReplyToTheNextCall(int firstStatus, int nextStatus) throws Exception {
		try (RawHttpServer service = new RawHttpServer(repeatingEarlierReplies(firstStatus, nextStatus, false));
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(service.address())) {
			fixture.dispatch(this.exchange);
			fixture.events.next(AttemptEvent.Started.class);
			fixture.events.next(AttemptEvent.Finished.class);
			FakeExchange next = next();
			fixture.dispatch(next);
			fixture.events.next(AttemptEvent.Started.class);
			fixture.events.next(AttemptEvent.Finished.class);
			assertThat(next.reply().httpStatus()).isEqualTo(nextStatus);
			assertThat(next.reply().body()).asString().isEqualTo("reply to /tickets/2");
		}
	}

	/**
	 * Failure that must not occur: as above, on a connection that is kept since the
	 * service names calls.
	 */
	@ParameterizedTest
	@CsvSource({ "200,500", "500,200", "200,200" })
	void repeatedReplyThatNamesItsCallIsNotTheReplyToTheNextOne(int firstStatus, int nextStatus) throws Exception {
		try (RawHttpServer service = new RawHttpServer(repeatingEarlierReplies(firstStatus, nextStatus, true));
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(service.address())) {
			fixture.dispatch(this.exchange);
			endOfAttempt(fixture);
			FakeExchange next = callOnUsedConnection(service, fixture);
			assertThat(this.end).isInstanceOfSatisfying(AttemptEvent.Failed.class,
					(failed) -> assertThat(failed.failure()).isEqualTo(AttemptFailure.CONNECTION_LOST));
			assertThat(next.reply()).isNull();
		}
	}

	/**
	 * Failure that must not occur: as above, and the copy lacks the name.
	 */
	@Test
	void replyWithoutANameIsNoReplyOnAConnectionThatHasCarriedCalls() throws Exception {
		ThreadLocal<String> copy = ThreadLocal.withInitial(() -> "");
		try (RawHttpServer service = new RawHttpServer((request, out) -> {
			RawHttpServer.write(out, copy.get());
			RawHttpServer.reply(out, 500, call(request), "failed");
			copy.set("HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ncopy");
		}); AttemptHandlerFixture fixture = new AttemptHandlerFixture(service.address())) {
			FakeExchange next = callOnUsedConnection(service, fixture);
			assertThat(this.end).isInstanceOfSatisfying(AttemptEvent.Failed.class,
					(failed) -> assertThat(failed.failure()).isEqualTo(AttemptFailure.CONNECTION_LOST));
			assertThat(next.reply()).isNull();
		}
	}

	@Test
	void connectionIsKeptAfterAReplyThatNamesItsCall() throws Exception {
		try (RawHttpServer service = new RawHttpServer(
				(request, out) -> RawHttpServer.reply(out, 200, call(request), "ran"));
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(service.address())) {
			FakeExchange last = callOnUsedConnection(service, fixture);
			assertThat(this.end).isInstanceOf(AttemptEvent.Finished.class);
			assertThat(last.reply().headers()).isEmpty();
			assertThat(service.requests().stream().map((request) -> request.headers().get("call-id")))
				.doesNotHaveDuplicates();
		}
	}

	/** Calls until a call is sent on a connection that has carried another one. */
	private FakeExchange callOnUsedConnection(RawHttpServer service, AttemptHandlerFixture fixture)
			throws InterruptedException {
		while (true) {
			FakeExchange next = next();
			fixture.dispatch(next);
			endOfAttempt(fixture);
			if (service.requests().size() > service.connections()) {
				return next;
			}
			assertThat(this.end).isInstanceOf(AttemptEvent.Finished.class);
			assertThat(service.connections()).as("connections, none used twice").isLessThan(100);
		}
	}

	private void endOfAttempt(AttemptHandlerFixture fixture) throws InterruptedException {
		do {
			this.end = fixture.events.next(AttemptEvent.class);
		}
		while (this.end instanceof AttemptEvent.Started);
	}

	private static FakeExchange next() {
		return FakeExchange
			.service(new ServiceCall("POST", "tickets/2", Map.of(), "body".getBytes(StandardCharsets.UTF_8)));
	}

	private static String call(RawHttpServer.Request request) {
		return "Call-Id: " + request.headers().get("call-id") + "\r\n";
	}

	/** Writes the earlier replies of a connection before each reply. */
	private static RawHttpServer.Script repeatingEarlierReplies(int firstStatus, int nextStatus, boolean named) {
		ThreadLocal<String> earlier = ThreadLocal.withInitial(() -> "");
		return (request, out) -> {
			String path = request.path().split("\\?")[0];
			ByteArrayOutputStream reply = new ByteArrayOutputStream();
			RawHttpServer.reply(reply, path.equals("/tickets/1") ? firstStatus : nextStatus, named ? call(request) : "",
					"reply to " + path);
			String replies = earlier.get() + reply.toString(StandardCharsets.UTF_8);
			earlier.set(replies);
			RawHttpServer.write(out, replies);
		};
	}

	@Test
	void unavailableWithoutNotRunIsAReply() throws Exception {
		try (RawHttpServer service = new RawHttpServer((request, out) -> RawHttpServer.reply(out, 503, "", "busy"));
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(service.address())) {
			fixture.dispatch(this.exchange);
			fixture.events.next(AttemptEvent.Started.class);
			fixture.events.next(AttemptEvent.Finished.class);
			assertThat(this.exchange.reply().httpStatus()).isEqualTo(503);
		}
	}

	@Test
	void replyThatIsTooLargeIsAnEndpointError() throws Exception {
		String chunk = "x".repeat(1_024 * 1_024);
		try (RawHttpServer service = new RawHttpServer((request, out) -> {
			RawHttpServer.startStream(out);
			for (int i = 0; i < 9; i++) {
				RawHttpServer.chunk(out, chunk);
			}
			RawHttpServer.endStream(out);
		}); AttemptHandlerFixture fixture = new AttemptHandlerFixture(service.address())) {
			fixture.dispatch(this.exchange);
			fixture.events.next(AttemptEvent.Started.class);
			assertThat(fixture.expectFailure(AttemptFailure.ENDPOINT_ERROR).detail()).contains("larger than 8388608");
		}
	}

	@Test
	void repeatableMethodIsNotRepeatedByTheClient() throws Exception {
		FakeExchange get = FakeExchange.service(new ServiceCall("GET", "tickets/1", Map.of(), new byte[0]));
		try (RawHttpServer service = new RawHttpServer((request, out) -> request.socket().close());
				AttemptHandlerFixture fixture = new AttemptHandlerFixture(service.address())) {
			fixture.dispatch(get);
			fixture.expectFailure(AttemptFailure.CONNECTION_LOST);
			assertThat(service.requests()).hasSize(1);
		}
	}

	@Test
	void replyThatIsCutOffIsLost() throws Exception {
		try (RawHttpServer service = new RawHttpServer((request, out) -> {
			RawHttpServer.write(out, "HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nabc");
			request.socket().close();
		}); AttemptHandlerFixture fixture = new AttemptHandlerFixture(service.address())) {
			fixture.dispatch(this.exchange);
			fixture.events.next(AttemptEvent.Started.class);
			fixture.expectFailure(AttemptFailure.CONNECTION_LOST);
			assertThat(this.exchange.reply()).isNull();
		}
	}

}
