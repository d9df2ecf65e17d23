package io.mulberrylift.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SequentialHttpClient} on real sockets.
 */
@Timeout(60)
class SequentialHttpClientTests {

	private static final long TIMEOUT_MILLIS = 20_000;

	private final EventLoopGroup group = new NioEventLoopGroup(1);

	private final AtomicInteger requests = new AtomicInteger();

	private final AtomicInteger connections = new AtomicInteger();

	private ServerSocket server;

	/** Copies of the answer to each request that are written at once. */
	private volatile int copies = 1;

	/** What is written in place of an answer before its connection is closed, or null. */
	private volatile String cutAnswer;

	/** What is written before each answer. */
	private volatile String before = "";

	/** What is written after each answer. */
	private volatile String after = "";

	private SequentialHttpClient client;

	@BeforeEach
	void start() throws IOException {
		this.server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
		Thread acceptor = new Thread(this::accept);
		acceptor.setDaemon(true);
		acceptor.start();
		this.client = new SequentialHttpClient(this.group, new NetAddress("127.0.0.1", this.server.getLocalPort()),
				65536);
	}

	@AfterEach
	void stop() throws IOException {
		this.server.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				this.connections.incrementAndGet();
				Thread handler = new Thread(() -> serve(socket));
				handler.setDaemon(true);
				handler.start();
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream input = socket.getInputStream();
			StringBuilder head = new StringBuilder();
			int read = input.read();
			while (read >= 0) {
				head.append((char) read);
				if (head.toString().endsWith("\r\n\r\n")) {
					head.setLength(0);
					String body = "answer " + this.requests.incrementAndGet();
					if (this.cutAnswer != null) {
						socket.getOutputStream().write(this.cutAnswer.getBytes(StandardCharsets.US_ASCII));
						return;
					}
					String answer = "HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
					socket.getOutputStream()
						.write((this.before + answer.repeat(this.copies) + this.after)
							.getBytes(StandardCharsets.US_ASCII));
				}
				read = input.read();
			}
		}
		catch (IOException ex) {
			// The client has closed the connection.
		}
	}

	/** Makes each call in the result of the one before. */
	private List<String> call(int count) throws Exception {
		CompletableFuture<List<String>> bodies = new CompletableFuture<>();
		this.group.execute(() -> callNext(count, List.of(), bodies));
		return bodies.get(30, TimeUnit.SECONDS);
	}

	private void callNext(int count, List<String> earlier, CompletableFuture<List<String>> bodies) {
		if (earlier.size() == count) {
			bodies.complete(earlier);
			return;
		}
		this.client.call(HttpMethod.GET, "/", new byte[0], TIMEOUT_MILLIS, (result) -> {
			List<String> results = new ArrayList<>(earlier);
			results.add(new String(result.body(), StandardCharsets.US_ASCII));
			callNext(count, results, bodies);
		});
	}

	/**
	 * Failure: the beginning of a further answer was put before the answer to the next
	 * call, whose status became that of the beginning.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nx-a: ", "HTTP/1.1 200 OK\r\nx-a: b" })
	void beginningOfAFurtherAnswerFailsTheNextCall(String beginning) throws Exception {
		this.after = beginning;
		assertThat(call(2)).containsExactly("answer 1", "");
	}

	/** Failure: an interim answer was taken for the answer. */
	@Test
	void interimAnswerIsSkipped() throws Exception {
		this.before = "HTTP/1.1 103 Early Hints\r\n\r\n";
		assertThat(call(3)).containsExactly("answer 1", "answer 2", "answer 3");
		assertThat(this.connections).hasValue(1);
	}

	@Test
	void callsUseOneConnection() throws Exception {
		assertThat(call(3)).containsExactly("answer 1", "answer 2", "answer 3");
		assertThat(this.connections).hasValue(1);
	}

	/**
	 * Failure: the second copy of an answer, in one read with the first one, was taken
	 * for the answer to the next call, and each later call got the answer to the one
	 * before.
	 */
	@Test
	void secondCopyOfAnAnswerIsNotTheAnswerToTheNextCall() throws Exception {
		this.copies = 2;
		assertThat(call(3)).containsExactly("answer 1", "answer 2", "answer 3");
	}

	/**
	 * Failure that must not occur: as above, if the next call is made some time after the
	 * answer.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 0, 5, 50 })
	void secondCopyIsNotTheAnswerToALaterCall(long pauseMillis) throws Exception {
		this.copies = 2;
		List<String> answers = new ArrayList<>();
		for (int count = 0; count < 4; count++) {
			answers.addAll(call(1));
			Thread.sleep(pauseMillis);
		}
		assertThat(answers).containsExactly("answer 1", "answer 2", "answer 3", "answer 4");
	}

	/** Failure that must not occur: an answer that ends before it is complete counts. */
	@ParameterizedTest
	@ValueSource(strings = { "", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n",
			"HTTP/1.1 200 OK\r\nx-none: 1\r\n", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
			"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nansw",
			"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nansw\r\n" })
	void answerThatIsCutOffFailsItsCall(String answer) throws Exception {
		this.cutAnswer = answer;
		for (int count = 0; count < 2; count++) {
			CompletableFuture<CallResult> result = new CompletableFuture<>();
			this.group
				.execute(() -> this.client.call(HttpMethod.GET, "/", new byte[0], TIMEOUT_MILLIS, result::complete));
			assertThat(result.get(30, TimeUnit.SECONDS).isAnswered()).isFalse();
		}
	}

	@Test
	void callToAClosedPortFails() throws Exception {
		this.server.close();
		CompletableFuture<CallResult> result = new CompletableFuture<>();
		this.group.execute(() -> this.client.call(HttpMethod.GET, "/", new byte[0], TIMEOUT_MILLIS, result::complete));
		assertThat(result.get(30, TimeUnit.SECONDS).isAnswered()).isFalse();
	}

}
