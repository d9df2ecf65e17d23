package io.mulberrylift.gateway.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.mulberrylift.core.forwarding.ClientLimits;
import io.mulberrylift.gateway.pressure.HeldBytes;
import io.mulberrylift.gateway.pressure.Pressure;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CallerConnectionTests {

	private static final String HEAD = "POST /a/b HTTP/1.1\r\nHost: h\r\n";

	private final List<CallerExchange> received = new ArrayList<>();

	private final List<CallerExchange> disconnected = new ArrayList<>();

	private final List<CallerExchange> notRead = new ArrayList<>();

	private final Pressure pressure = Pressure.create(() -> 0);

	private boolean closing;

	private final CallerListener listener = new CallerListener() {
		@Override
		public void requestReceived(CallerExchange exchange) {
			CallerConnectionTests.this.received.add(exchange);
		}

		@Override
		public void callerDisconnected(CallerExchange exchange) {
			CallerConnectionTests.this.disconnected.add(exchange);
		}

		@Override
		public void becameWritable(CallerExchange exchange) {
			// No test fills the write buffer.
		}

		@Override
		public void answerNotRead(CallerExchange exchange) {
			CallerConnectionTests.this.notRead.add(exchange);
		}

		@Override
		public Pressure pressure() {
			return CallerConnectionTests.this.pressure;
		}

		@Override
		public void requestRejected(int status, String reason) {
			// The tests check the answer instead.
		}

		@Override
		public ClientLimits limits() {
			return new ClientLimits(1000, 100, 3000, 10_000);
		}

		@Override
		public boolean isClosing() {
			return CallerConnectionTests.this.closing;
		}
	};

	private final EmbeddedChannel channel = open();

	private EmbeddedChannel open() {
		CallerProtocol protocol = (request) -> new RequestHead("id", request.headers().get("Host", ""), request.uri(),
				Optional.empty(), 5000, 0, 0, List.of(), Optional.empty());
		EmbeddedChannel opened = new EmbeddedChannel();
		opened.freezeTime();
		CallerServer.configurePipeline(opened.pipeline(), protocol, this.listener, new AtomicLong()::incrementAndGet);
		opened.pipeline().fireChannelActive();
		return opened;
	}

	private void send(String text) {
		this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

	private String sent() {
		this.channel.runPendingTasks();
		StringBuilder text = new StringBuilder();
		for (ByteBuf bytes = this.channel.readOutbound(); bytes != null; bytes = this.channel.readOutbound()) {
			text.append(bytes.toString(StandardCharsets.US_ASCII));
			bytes.release();
		}
		return text.toString();
	}

	private void advanceTime(long millis) {
		this.channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	private void answer(CallerExchange exchange, String body) {
		exchange.answer(200, new DefaultHttpHeaders(), body.getBytes(StandardCharsets.US_ASCII));
	}

	@Test
	void bodyIsReadCompletelyByChunksOrLength() {
		send(HEAD + "Content-Length: 5\r\n\r\nhel");
		assertThat(this.received).isEmpty();
		send("lo");
		assertThat(new String(this.received.get(0).request().body(), StandardCharsets.US_ASCII)).isEqualTo("hello");
		answer(this.received.get(0), "x");
		this.channel.runPendingTasks();
		send(HEAD + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
		assertThat(new String(this.received.get(1).request().body(), StandardCharsets.US_ASCII)).isEqualTo("abcde");
	}

	@Test
	void pipelinedRequestsAreAnsweredInOrder() {
		send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
		assertThat(this.received).hasSize(1);
		answer(this.received.get(0), "one");
		this.channel.runPendingTasks();
		assertThat(this.received).hasSize(2);
		answer(this.received.get(1), "two");
		assertThat(sent()).matches("(?s).*one.*two");
	}

	/**
	 * Failure: a request that was read between the end of an answer and the next queued
	 * request was handled first and got its answer first.
	 */
	@Test
	void pipelinedRequestThatIsReadAfterAnAnswerWaitsForThoseBeforeIt() {
		send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe");
		answer(this.received.get(0), "one");
		send("lloGET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
		this.channel.runPendingTasks();
		answer(this.received.get(1), "two");
		send("GET /4 HTTP/1.1\r\nHost: h\r\n\r\n");
		this.channel.runPendingTasks();
		answer(this.received.get(2), "three");
		this.channel.runPendingTasks();
		assertThat(this.received).extracting((exchange) -> exchange.request().target())
			.containsExactly("/1", "/2", "/3", "/4");
		assertThat(new String(this.received.get(1).request().body(), StandardCharsets.US_ASCII)).isEqualTo("hello");
	}

	/** Failure that must not occur: a stop closes a connection whose requests wait. */
	@Test
	void queuedRequestsAreAnsweredBeforeAStopClosesTheirConnection() {
		send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
		this.channel.pipeline().get(CallerConnection.class).stop();
		answer(this.received.get(0), "one");
		advanceTime(601);
		assertThat(sent()).contains("one");
		this.closing = true;
		answer(this.received.get(1), "two");
		assertThat(sent()).contains("connection: close").contains("two");
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void ambiguousLengthIsRejectedAndConnectionClosed() {
		for (String smuggled : List.of(
				"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
				"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!")) {
			CallerConnectionTests fresh = new CallerConnectionTests();
			fresh.send(HEAD + smuggled);
			assertThat(fresh.sent()).startsWith("HTTP/1.1 400");
			assertThat(fresh.received).isEmpty();
			assertThat(fresh.channel.isOpen()).isFalse();
		}
	}

	@Test
	void tooLargeHeadAndBodyAreRefusedImmediately() {
		send("GET / HTTP/1.1\r\nHost: h\r\nX: " + "x".repeat(2000) + "\r\n\r\n");
		assertThat(sent()).startsWith("HTTP/1.1 431");
		CallerConnectionTests stated = new CallerConnectionTests();
		stated.send(HEAD + "Content-Length: 101\r\n\r\n");
		assertThat(stated.sent()).startsWith("HTTP/1.1 413");
		CallerConnectionTests chunked = new CallerConnectionTests();
		chunked.send(HEAD + "Transfer-Encoding: chunked\r\n\r\nff\r\n" + "x".repeat(255) + "\r\n");
		assertThat(chunked.sent()).startsWith("HTTP/1.1 413");
	}

	@Test
	void slowHeadAndBodyTimeOutWithoutBeingForwarded() {
		send("GET / HT");
		advanceTime(2999);
		assertThat(this.channel.isOpen()).isTrue();
		advanceTime(2);
		assertThat(sent()).startsWith("HTTP/1.1 408");
		CallerConnectionTests body = new CallerConnectionTests();
		body.send(HEAD + "Content-Length: 5\r\n\r\nhe");
		body.advanceTime(5001);
		assertThat(body.sent()).startsWith("HTTP/1.1 408");
		assertThat(body.received).isEmpty();
	}

	@Test
	void idleConnectionIsClosedButBusyOneStaysOpen() {
		send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
		advanceTime(20_000);
		assertThat(this.channel.isOpen()).isTrue();
		answer(this.received.get(0), "x");
		advanceTime(9999);
		assertThat(this.channel.isOpen()).isTrue();
		advanceTime(2);
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void answersToHeadRequestsHaveNoBody() {
		send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
		answer(this.received.get(0), "body");
		assertThat(sent()).contains("content-length: 4").doesNotContain("body");
	}

	@Test
	void abortedAnswerDoesNotLookComplete() {
		send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
		this.received.get(0).beginAnswer(200, new DefaultHttpHeaders());
		this.received.get(0).write(Unpooled.copiedBuffer("part", StandardCharsets.US_ASCII));
		this.received.get(0).abort();
		assertThat(sent()).contains("part").doesNotContain("0\r\n\r\n");
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void callerDisconnectIsReportedOnce() {
		send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
		this.channel.close();
		assertThat(this.disconnected).hasSize(1);
		answer(this.received.get(0), "late");
		assertThat(this.disconnected).hasSize(1);
	}

	/** Load: a caller sends requests without reading the answers. */
	@Test
	void pipelinedRequestsAreHeldWithinABoundWhileTheirAnswersArePending() {
		for (int count = 0; count < 100; count++) {
			send("GET /1 HTTP/1.1\r\nHost: h\r\nX: " + "x".repeat(900) + "\r\n\r\n");
		}
		assertThat(this.channel.config().isAutoRead()).isFalse();
		assertThat(this.pressure.held().maxBytes()).isPositive();
		for (int count = 0; count < 100; count++) {
			answer(this.received.get(count), "x");
			this.channel.runPendingTasks();
		}
		assertThat(this.channel.config().isAutoRead()).isTrue();
		assertThat(this.pressure.held().bytes()).isZero();
	}

	/** Failure: requests with bodies come while the instance holds too many already. */
	@Test
	void bodyThatCannotBeHeldIsRefusedAsNotRun() {
		while (this.pressure.held().lease().resize(HeldBytes.OWN_BYTES)) {
			assertThat(this.pressure.held().bytes()).isLessThanOrEqualTo(HeldBytes.MAX_BYTES);
		}
		while (this.pressure.held().lease().resize(1)) {
			assertThat(this.pressure.held().bytes()).isLessThanOrEqualTo(HeldBytes.MAX_BYTES);
		}
		send(HEAD + "Content-Length: 5\r\n\r\nhello");
		assertThat(sent()).startsWith("HTTP/1.1 503").contains("retry-after: 0.5");
		assertThat(this.received).isEmpty();
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void bodiesAreReleasedHoweverTheExchangeEnds() {
		send(HEAD + "Content-Length: 5\r\n\r\nhel");
		assertThat(this.pressure.held().bytes()).isEqualTo(3);
		send("lo");
		assertThat(this.pressure.held().bytes()).isEqualTo(5);
		answer(this.received.get(0), "x");
		assertThat(this.pressure.held().bytes()).isZero();
		send(HEAD + "Content-Length: 5\r\n\r\nhel");
		this.channel.close();
		this.channel.runPendingTasks();
		assertThat(this.pressure.held().bytes()).isZero();
	}

	@Test
	void connectionClosesAfterItsAnswerDuringShutdown() {
		this.closing = true;
		send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
		answer(this.received.get(0), "x");
		assertThat(sent()).contains("connection: close");
		assertThat(this.channel.isOpen()).isFalse();
	}

}
