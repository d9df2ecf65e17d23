package io.mulberrylift.daemon.endpoint;

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

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServiceAttempt}.
 */
class ServiceAttemptTests {

	private final FakeExchange exchange = FakeExchange.service(new ServiceCall("POST", "tickets/1?q=a%20b",
			Map.of("Idempotency-Key", List.of("k"), "Content-Type", List.of("text/plain"), "Host", List.of("x")),
			"body".getBytes(StandardCharsets.UTF_8)));

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
