package io.mulberrylift.daemon.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.f4b6a3.uuid.UuidCreator;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.testkit.engine.AnswerText;
import io.mulberrylift.testkit.history.AnswerResult;
import io.mulberrylift.testkit.history.HistoryEvent;
import io.mulberrylift.testkit.history.HistoryWriter;

/**
 * Sends single requests and records them in the history.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
final class RecordingCaller {

	static final int MAX_OUTPUT_TOKENS = 1_024;

	private static final long STREAM_TIMEOUT_MILLIS = 60_000;

	private static final long ALERT_TIMEOUT_MILLIS = 20_000;

	private static final long RESPONSE_GRACE_MILLIS = 30_000;

	private static final AtomicInteger SEND_COUNTER = new AtomicInteger();

	private final HttpClient client = HttpClient.newHttpClient();

	private final ObjectMapper mapper = new ObjectMapper();

	private final HistoryWriter history;

	private final ConcurrentMap<String, String> addresses = new ConcurrentHashMap<>();

	RecordingCaller(HistoryWriter history) {
		this.history = history;
	}

	static Alert newAlert() {
		return new Alert(UuidCreator.getTimeOrderedEpoch().toString(),
				"{\"road\":" + SEND_COUNTER.incrementAndGet() + "}");
	}

	Reply alert(String address) throws Exception {
		return send(address, newAlert());
	}

	/**
	 * Sends a call that must run at most once.
	 */
	Reply send(String address, Alert alert) throws Exception {
		String sendId = invoke(address, WorkKind.SERVICE, ProcessFleet.SERVICE, alert.body(), alert.key(),
				ALERT_TIMEOUT_MILLIS);
		HttpRequest request = request(address, "/v1/services/" + ProcessFleet.SERVICE + "/alerts", "alert",
				ALERT_TIMEOUT_MILLIS, alert.body())
			.header("Idempotency-Key", alert.key())
			.build();
		return answer(sendId, () -> {
			HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
			return (response.statusCode() == 200) ? new Reply(AnswerResult.WHOLE, response.body(), "")
					: refusal(this.mapper.readTree(response.body()));
		});
	}

	/**
	 * Sends a prompt and reads the streamed answer.
	 * @param address the instance
	 * @param prompt the prompt
	 * @param progress receives the number of events after each event
	 */
	Reply stream(String address, String prompt, IntConsumer progress) throws Exception {
		String sendId = invoke(address, WorkKind.MODEL, ProcessFleet.MODEL, prompt, "", STREAM_TIMEOUT_MILLIS);
		String body = this.mapper.writeValueAsString(
				Map.of("model", ProcessFleet.MODEL, "prompt", prompt, "max_tokens", MAX_OUTPUT_TOKENS, "stream", true));
		HttpRequest request = request(address, "/v1/completions", "regional-outlook", STREAM_TIMEOUT_MILLIS, body)
			.build();
		return answer(sendId, () -> read(this.client.send(request, HttpResponse.BodyHandlers.ofLines()), progress));
	}

	private Reply read(HttpResponse<Stream<String>> response, IntConsumer progress) throws IOException {
		StringBuilder text = new StringBuilder();
		int events = 0;
		for (String line : (Iterable<String>) response.body()::iterator) {
			if (response.statusCode() != 200) {
				text.append(line);
			}
			else if (line.equals("data: [DONE]")) {
				return new Reply(AnswerResult.WHOLE, text.toString(), "");
			}
			else if (line.startsWith("data: ")) {
				JsonNode event = this.mapper.readTree(line.substring("data: ".length()));
				if (event.has("outcome")) {
					return refusal(event);
				}
				text.append(event.path("choices").path(0).path("text").asText());
				progress.accept(++events);
			}
		}
		return (response.statusCode() == 200) ? new Reply(AnswerResult.FAILED, text.toString(), "stream-without-end")
				: refusal(this.mapper.readTree(text.toString()));
	}

	private static Reply refusal(JsonNode problem) {
		String outcome = problem.path("outcome").asText("unknown").toUpperCase(Locale.ROOT).replace('-', '_');
		return new Reply(AnswerResult.valueOf(outcome), "", problem.path("reason").asText());
	}

	private String invoke(String address, WorkKind kind, String target, String body, String key, long timeoutMillis) {
		String sendId = "single-" + SEND_COUNTER.incrementAndGet();
		long nowMillis = System.currentTimeMillis();
		this.addresses.put(sendId, address);
		int maxOutputTokens = (kind == WorkKind.MODEL) ? MAX_OUTPUT_TOKENS : 0;
		this.history.write(new HistoryEvent.Invoke(nowMillis, sendId, kind, target, AnswerText.promptHash(body),
				maxOutputTokens, key, key.isEmpty(), nowMillis + timeoutMillis));
		return sendId;
	}

	private Reply answer(String sendId, Exchange exchange) throws Exception {
		Reply reply;
		try {
			reply = exchange.run();
		}
		catch (IOException ex) {
			reply = new Reply(AnswerResult.UNKNOWN, "", "connection " + ex.getMessage());
		}
		long hash = reply.isComplete() ? AnswerText.promptHash(reply.text()) : 0;
		this.history.write(new HistoryEvent.Answer(System.currentTimeMillis(), sendId, reply.result(), hash));
		return reply;
	}

	private static HttpRequest.Builder request(String address, String path, String profile, long timeoutMillis,
			String body) {
		return HttpRequest.newBuilder(URI.create("http://" + address + path))
			.version(HttpClient.Version.HTTP_1_1)
			.timeout(Duration.ofMillis(timeoutMillis + RESPONSE_GRACE_MILLIS))
			.header("Mulberrylift-Workspace", "highways")
			.header("Mulberrylift-Profile", profile)
			.header("Mulberrylift-Deadline-Millis", Long.toString(timeoutMillis))
			.header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(body));
	}

	String address(String sendId) {
		return this.addresses.get(sendId);
	}

	@FunctionalInterface
	private interface Exchange {

		Reply run() throws IOException, InterruptedException;

	}

	/**
	 * A call that must run at most once.
	 *
	 * @param key its idempotency key
	 * @param body its body
	 */
	record Alert(String key, String body) {
	}

	/**
	 * Result of a send.
	 *
	 * @param result the outcome
	 * @param text text of the answer
	 * @param reason the refusal's reason
	 */
	record Reply(AnswerResult result, String text, String reason) {

		boolean isComplete() {
			return this.result == AnswerResult.WHOLE;
		}

	}

}
