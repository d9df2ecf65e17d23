package io.mulberrylift.daemon.caller;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.JsonNode;
import io.mulberrylift.core.effect.RequestEffect;
import io.mulberrylift.core.event.RequestEvent;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.daemon.exchange.CallerExchange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

/**
 * Tests of completion requests over HTTP.
 */
class CompletionTests {

	private static final String PROMPT = "{\"model\":\"outlook\",\"prompt\":\"Is Ring Road icy?\",\"max_tokens\":8%s}";

	private static final String CHAT = "{\"model\":\"outlook\",\"messages\":[{\"role\":\"user\",\"content\":\"Ice?\"}]%s}";

	private TestServer server;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer();
	}

	@AfterEach
	void stop() throws Exception {
		this.server.close();
	}

	@Test
	void nonStreamedCompletionCarriesTextAndUsage() throws Exception {
		this.server.reducer.onArrived = this::answer;
		HttpResponse<String> response = this.server.post("/v1/completions", PROMPT.formatted(""));
		JsonNode body = CallerJson.mapper().readTree(response.body());
		assertThat(response.statusCode()).isEqualTo(200);
		assertThat(body.path("object").asText()).isEqualTo("text_completion");
		assertThat(body.path("choices").path(0).path("text").asText()).isEqualTo("Black ice.");
		assertThat(body.path("choices").path(0).path("finish_reason").asText()).isEqualTo("stop");
		assertThat(body.path("usage").path("total_tokens").asInt()).isEqualTo(7);
		assertThat(this.server.exchanges.size()).isZero();
	}

	@Test
	void arrivedEventDescribesTheRequest() throws Exception {
		this.server.reducer.onArrived = this::answer;
		this.server.post("/v1/completions", PROMPT.formatted(""));
		RequestSpec spec = ((RequestEvent.Arrived) this.server.reducer.events.get(0)).spec();
		assertThat(spec.promptTokens()).isEqualTo(5);
		assertThat(spec.maxOutputTokens()).isEqualTo(8);
		assertThat(spec.timeoutMillis()).isEqualTo(5_000);
		assertThat(spec.repeatable()).isTrue();
		assertThat(spec.key()).isEmpty();
	}

	@Test
	void streamedChatEndsWithFinishReasonUsageAndDone() throws Exception {
		this.server.reducer.onArrived = this::answer;
		HttpResponse<String> response = this.server.post("/v1/chat/completions",
				CHAT.formatted(",\"stream\":true,\"stream_options\":{\"include_usage\":true}"));
		List<String> events = List.of(response.body().split("\n\n"));
		assertThat(response.headers().firstValue("Content-Type")).hasValue("text/event-stream; charset=utf-8");
		assertThat(events).hasSize(5);
		assertThat(events.get(0)).contains("\"role\":\"assistant\"").contains("Black");
		assertThat(events.get(1)).contains(" ice.").doesNotContain("assistant");
		assertThat(events.get(2)).contains("\"finish_reason\":\"stop\"");
		assertThat(events.get(3)).contains("\"total_tokens\":7");
		assertThat(events.get(4)).isEqualTo("data: [DONE]");
	}

	@Test
	void refusalBeforeTheFirstTokenIsAProblemDocument() throws Exception {
		this.server.reducer.onArrived = (exchange) -> refuse(exchange,
				new Refusal(Outcome.NOT_RUN, RefusalReason.OVERLOADED, "The queue is full", OptionalLong.of(1_001)));
		HttpResponse<String> response = this.server.post("/v1/completions", PROMPT.formatted(",\"stream\":true"));
		assertThat(response.statusCode()).isEqualTo(429);
		assertThat(response.headers().firstValue("Content-Type")).hasValue(ProblemDocument.MEDIA_TYPE);
		assertThat(response.headers().firstValue("Retry-After")).hasValue("2");
		assertThat(response.body()).contains("\"outcome\":\"not-run\"").contains("\"retryAfterMillis\":1001");
	}

	@Test
	void refusalInMidStreamIsAnErrorEventWithoutDone() throws Exception {
		this.server.reducer.onArrived = (exchange) -> {
			exchange.sink().acceptTokens(0, List.of("Black"));
			refuse(exchange, Refusal.of(Outcome.EXPIRED, RefusalReason.DEADLINE_PASSED, ""));
			exchange.sink().acceptTokens(1, List.of(" ice."));
		};
		HttpResponse<String> response = this.server.post("/v1/completions", PROMPT.formatted(",\"stream\":true"));
		assertThat(response.body()).contains("event: error\ndata: {").contains("\"outcome\":\"expired\"");
		assertThat(response.body()).doesNotContain("[DONE]").doesNotContain(" ice.");
	}

	@Test
	void onlyTheFirstEndReachesTheCaller() throws Exception {
		this.server.reducer.onArrived = (exchange) -> {
			refuse(exchange, Refusal.of(Outcome.EXPIRED, RefusalReason.DEADLINE_PASSED, ""));
			exchange.complete();
			exchange.replay(new StoredAnswer(200, "application/json", new byte[] { '1' }));
		};
		HttpResponse<String> response = this.server.post("/v1/completions", PROMPT.formatted(""));
		assertThat(response.statusCode()).isEqualTo(504);
		assertThat(response.body())
			.endsWith("\"reason\":\"deadline-passed\",\"remedy\":\"" + RefusalReason.DEADLINE_PASSED.remedy() + "\"}");
	}

	@Test
	void tokensBelowTheAcceptedOffsetAreDropped() throws Exception {
		this.server.reducer.onArrived = (exchange) -> {
			exchange.sink().acceptTokens(0, List.of("a", "b"));
			exchange.sink().acceptTokens(1, List.of("b", "c"));
			exchange.sink().acceptTokens(0, List.of("a"));
			complete(exchange);
		};
		HttpResponse<String> response = this.server.post("/v1/completions", PROMPT.formatted(""));
		assertThat(response.body()).contains("\"text\":\"abc\"");
	}

	@Test
	void storedAnswerIsReplayedAsBodyAndAsEvents() throws Exception {
		StoredAnswer[] stored = new StoredAnswer[1];
		this.server.reducer.onArrived = (exchange) -> {
			exchange.sink().acceptTokens(0, List.of("Black", " ice."));
			exchange.sink().acceptEnd("stop", 5, 2);
			stored[0] = exchange.storedAnswer().orElseThrow();
			complete(exchange);
		};
		HttpResponse<String> first = this.server.post("/v1/chat/completions", CHAT.formatted(""));
		this.server.reducer.onArrived = (exchange) -> this.server.effects
			.handle(new RequestEffect.Replay(exchange.spec().requestId(), stored[0]));
		HttpResponse<String> replayed = this.server.post("/v1/chat/completions", CHAT.formatted(""));
		HttpResponse<String> events = this.server.post("/v1/chat/completions", CHAT.formatted(",\"stream\":true"));
		assertThat(replayed.body()).isEqualTo(first.body());
		assertThat(events.body()).contains("\"content\":\"Black ice.\"").endsWith("data: [DONE]\n\n");
	}

	@Test
	void streamWithoutKeyIsNotStored() throws Exception {
		AtomicReference<Optional<StoredAnswer>> stored = new AtomicReference<>();
		this.server.reducer.onArrived = (exchange) -> {
			exchange.sink().acceptTokens(0, List.of("a"));
			exchange.sink().acceptEnd("stop", 5, 1);
			stored.set(exchange.storedAnswer());
			complete(exchange);
		};
		this.server.post("/v1/completions", PROMPT.formatted(",\"stream\":true"));
		assertThat(stored.get()).isEmpty();
	}

	@Test
	void gapInTokensIsRejected() throws Exception {
		AtomicReference<Throwable> fault = new AtomicReference<>();
		this.server.reducer.onArrived = (exchange) -> {
			exchange.sink().acceptTokens(0, List.of("a"));
			fault.set(catchThrowable(() -> exchange.sink().acceptTokens(2, List.of("c"))));
			complete(exchange);
		};
		this.server.post("/v1/completions", PROMPT.formatted(""));
		assertThat(fault.get()).isInstanceOf(IllegalStateException.class);
	}

	@Test
	void promptOfAMillionTokensIsAccepted() throws Exception {
		this.server.reducer.onArrived = this::answer;
		HttpResponse<String> response = this.server.post("/v1/completions",
				"{\"model\":\"outlook\",\"prompt\":\"" + "a".repeat(4_000_000) + "\"}");
		RequestSpec spec = ((RequestEvent.Arrived) this.server.reducer.events.get(0)).spec();
		assertThat(response.statusCode()).isEqualTo(200);
		assertThat(spec.promptTokens()).isEqualTo(1_000_000);
		assertThat(spec.prefixBlocks()).hasSize(976);
	}

	@Test
	void promptOverTheModelLimitIsRefused() throws Exception {
		HttpResponse<String> response = this.server.post("/v1/completions",
				"{\"model\":\"outlook\",\"prompt\":\"" + "a".repeat(4_000_001) + "\"}");
		assertThat(response.statusCode()).isEqualTo(422);
		assertThat(response.body()).contains("\"reason\":\"prompt-too-long\"");
		assertThat(this.server.reducer.events).isEmpty();
	}

	@Test
	void notReadyWithoutConfiguration() throws Exception {
		this.server.configuration.set(Optional.empty());
		HttpResponse<String> response = this.server.post("/v1/completions", PROMPT.formatted(""));
		assertThat(response.statusCode()).isEqualTo(503);
		assertThat(response.body()).contains("\"reason\":\"not-ready\"").contains("\"outcome\":\"not-run\"");
		assertThat(this.server.reducer.events).isEmpty();
	}

	@Test
	void timeToFirstTokenIsMeasuredByPromptLength() throws Exception {
		this.server.reducer.onArrived = this::answer;
		this.server.post("/v1/completions", PROMPT.formatted(""));
		assertThat(this.server.metrics.histogram("caller.firstTokenMillis.le2k").getCount()).isOne();
		assertThat(this.server.metrics.counter("caller.answers").getCount()).isOne();
	}

	private void answer(CallerExchange exchange) {
		exchange.sink().acceptTokens(0, List.of("Black"));
		exchange.sink().acceptTokens(1, List.of(" ice."));
		complete(exchange);
	}

	private void complete(CallerExchange exchange) {
		exchange.sink().acceptEnd("stop", 5, 2);
		this.server.effects.handle(new RequestEffect.Complete(exchange.spec().requestId()));
	}

	private void refuse(CallerExchange exchange, Refusal refusal) {
		this.server.effects.handle(new RequestEffect.Refuse(exchange.spec().requestId(), refusal));
	}

}
