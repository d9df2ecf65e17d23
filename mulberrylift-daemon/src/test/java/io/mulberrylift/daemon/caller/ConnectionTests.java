package io.mulberrylift.daemon.caller;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

import io.mulberrylift.core.effect.RequestEffect;
import io.mulberrylift.core.event.RequestEvent;
import io.mulberrylift.daemon.exchange.AnswerSink;
import io.mulberrylift.daemon.exchange.CallerExchange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of slow, stalled and failed connections.
 */
class ConnectionTests {

	private static final long WAIT_MILLIS = 30_000;

	private static final String CHUNK = "#".repeat(16 * 1_024);

	private static final int MANY_CHUNKS = 2_000;

	private static final String STREAM_BODY = "{\"model\":\"outlook\",\"prompt\":\"Ice?\",\"stream\":true}";

	private TestServer server;

	private volatile CallerExchange arrived;

	@AfterEach
	void stop() throws Exception {
		this.server.close();
	}

	@Test
	void stalledReaderLimitsBufferedBytes() throws Exception {
		start("");
		try (Socket socket = connect()) {
			send(socket, request(STREAM_BODY));
			int chunks = writeUntilFull();
			ResponseStream stream = ((AbstractExchange) this.arrived).stream();
			assertThat(chunks).isLessThan(MANY_CHUNKS);
			assertThat(stream.bufferedBytes()).isGreaterThan(AnswerSink.MAX_BUFFERED_BYTES)
				.isLessThan(AnswerSink.MAX_BUFFERED_BYTES + 2L * CHUNK.length());
			CountDownLatch resumed = new CountDownLatch(1);
			this.arrived.sink().whenWritable(resumed::countDown);
			assertThat(resumed.getCount()).isOne();
			finish();
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertThat(resumed.await(WAIT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
			assertThat(response.chars().filter((c) -> c == '#').count()).isEqualTo((long) chunks * CHUNK.length());
			assertThat(response).contains("data: [DONE]");
		}
	}

	@Test
	void disconnectInMidStreamIsReportedOnce() throws Exception {
		start("");
		try (Socket socket = connect()) {
			send(socket, request(STREAM_BODY));
			waitFor(() -> this.arrived != null);
			this.arrived.sink().acceptTokens(0, List.of("a"));
			waitForText(socket.getInputStream(), "data: ");
			socket.setSoLinger(true, 0);
		}
		waitFor(this::writeDetectsDisconnect);
		AtomicBoolean released = new AtomicBoolean();
		this.arrived.sink().whenWritable(() -> released.set(true));
		assertThat(released).isTrue();
		int next = this.arrived.sink().acceptedTokens();
		assertThat(this.arrived.sink().acceptTokens(next, List.of("late"))).isTrue();
		assertThat(this.arrived.sink().acceptTokens(next + 1, List.of("later"))).isTrue();
		assertThat(this.server.reducer.count(RequestEvent.CallerDisconnected.class)).isOne();
		waitFor(() -> this.server.openCalls.count() == 0);
	}

	@Test
	void stalledReaderIsDisconnectedAfterTheIdleTimeout() throws Exception {
		// With a shorter timeout, a busy machine closed connections before reading their
		// request.
		start("\"idleTimeoutMillis\": 2000");
		try (Socket socket = connect()) {
			send(socket, request(STREAM_BODY));
			waitFor(() -> this.arrived != null);
			// A full buffer may still drain into the socket's buffer; the reader has
			// stalled only if the buffer stays full.
			waitFor(this::writeDetectsDisconnect);
			assertThat(this.server.reducer.count(RequestEvent.CallerDisconnected.class)).isOne();
			assertThat(this.arrived.sink().acceptedTokens()).isLessThan(MANY_CHUNKS);
		}
		waitFor(() -> this.server.openCalls.count() == 0);
	}

	@Test
	void idleTimeoutDoesNotEndAWaitingCall() throws Exception {
		start("\"idleTimeoutMillis\": 200");
		try (Socket socket = connect()) {
			send(socket, request(STREAM_BODY));
			waitFor(() -> this.arrived != null);
			Thread.sleep(1_000);
			this.arrived.sink().acceptTokens(0, List.of("a"));
			finish();
			assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
				.contains("data: [DONE]");
		}
		assertThat(this.server.reducer.count(RequestEvent.CallerDisconnected.class)).isZero();
	}

	@Test
	void slowSenderIsRefusedAfterTheBodyTimeout() throws Exception {
		start("\"bodyTimeoutMillis\": 200");
		try (Socket socket = connect()) {
			String complete = request(STREAM_BODY);
			send(socket, complete.substring(0, complete.length() - 5));
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertThat(response).startsWith("HTTP/1.1 408").contains("\"outcome\":\"not-run\"");
		}
		assertThat(this.server.reducer.events).isEmpty();
		waitFor(() -> this.server.openCalls.count() == 0);
	}

	@Test
	void callsAndBodiesAreLimitedTogether() throws Exception {
		start("\"maxConcurrentCallers\": 1, \"maxBodyBytes\": 1024, \"maxTotalBodyBytes\": 1024");
		try (Socket socket = connect()) {
			send(socket, request(STREAM_BODY));
			waitFor(() -> this.arrived != null);
			assertThat(this.server.post("/v1/completions", STREAM_BODY).statusCode()).isEqualTo(429);
			assertThat(this.server.openCalls.bodyBytes()).isEqualTo(STREAM_BODY.length());
			finish();
			waitFor(() -> this.server.openCalls.count() == 0);
			assertThat(this.server.openCalls.bodyBytes()).isZero();
		}
	}

	@Test
	void oversizedHeadersAreRefused() throws Exception {
		start("\"maxHeaderBytes\": 1024");
		try (Socket socket = connect()) {
			send(socket, "GET /v1/models HTTP/1.1\r\nHost: a\r\nX-Long: " + "a".repeat(4_096) + "\r\n\r\n");
			assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
				.startsWith("HTTP/1.1 431");
		}
	}

	private void start(String limits) throws Exception {
		this.server = new TestServer(limits);
		this.server.reducer.onArrived = (exchange) -> this.arrived = exchange;
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(16 * 1_024);
		socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.server.port()));
		return socket;
	}

	private int writeUntilFull() throws InterruptedException {
		waitFor(() -> this.arrived != null);
		this.arrived.sink().acceptTokens(0, List.of(CHUNK));
		waitFor(() -> ((AbstractExchange) this.arrived).stream().bufferedBytes() == 0);
		int chunks = 1;
		while (chunks < MANY_CHUNKS && this.arrived.sink().acceptTokens(chunks, List.of(CHUNK))) {
			chunks++;
		}
		return chunks + 1;
	}

	private boolean writeDetectsDisconnect() {
		if (((AbstractExchange) this.arrived).stream().bufferedBytes() <= AnswerSink.MAX_BUFFERED_BYTES) {
			this.arrived.sink().acceptTokens(this.arrived.sink().acceptedTokens(), List.of(CHUNK));
		}
		return this.server.reducer.count(RequestEvent.CallerDisconnected.class) > 0;
	}

	private void finish() {
		this.arrived.sink().acceptEnd("stop", 1, 1);
		this.server.effects.handle(new RequestEffect.Complete(this.arrived.spec().requestId()));
	}

	private static String request(String body) {
		return "POST /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + CallerHeaders.WORKSPACE
				+ ": rm-sherwood\r\n" + CallerHeaders.PROFILE + ": ice-briefing\r\nContent-Length: " + body.length()
				+ "\r\n\r\n" + body;
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
	}

	private static void waitForText(InputStream input, String text) throws IOException {
		StringBuilder seen = new StringBuilder();
		while (seen.indexOf(text) < 0) {
			int next = input.read();
			assertThat(next).as(seen.toString()).isNotNegative();
			seen.append((char) next);
		}
	}

	private static void waitFor(BooleanSupplier condition) throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("deadline for the awaited condition").isLessThan(endNanos);
			Thread.sleep(5);
		}
	}

}
