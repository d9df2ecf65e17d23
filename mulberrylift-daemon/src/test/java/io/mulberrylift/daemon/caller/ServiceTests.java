package io.mulberrylift.daemon.caller;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import io.mulberrylift.core.effect.RequestEffect;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.daemon.exchange.CallerExchange;
import io.mulberrylift.daemon.exchange.ServiceCall;
import io.mulberrylift.daemon.exchange.ServiceReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of calls to plain services over HTTP.
 */
class ServiceTests {

	private TestServer server;

	private volatile CallerExchange arrived;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer();
		this.server.reducer.onArrived = (exchange) -> {
			this.arrived = exchange;
			exchange.sink()
				.acceptReply(new ServiceReply(202, Map.of("Content-Type", List.of("text/plain"), "X-Receipt",
						List.of("9"), "Connection", List.of("X-Hop"), "X-Hop", List.of("1")), "taken".getBytes()));
			this.server.effects.handle(new RequestEffect.Complete(exchange.spec().requestId()));
		};
	}

	@AfterEach
	void stop() throws Exception {
		this.server.close();
	}

	@Test
	void callAndReplyGoThroughWithoutHopByHopHeaders() throws Exception {
		HttpResponse<String> response = this.server.send(this.server.request("/v1/services/notify/alerts/7?to=a%20b")
			.header("X-Council", "sherwood")
			.header("TE", "trailers")
			.method("PUT", HttpRequest.BodyPublishers.ofString("ice")));
		ServiceCall call = this.arrived.serviceCall().orElseThrow();
		assertThat(call.method()).isEqualTo("PUT");
		assertThat(call.pathAndQuery()).isEqualTo("alerts/7?to=a%20b");
		assertThat(call.body()).isEqualTo("ice".getBytes(StandardCharsets.UTF_8));
		assertThat(call.headers()).containsEntry("X-Council", List.of("sherwood"));
		assertThat(call.headers()).doesNotContainKeys("TE", "Host", "Content-Length", CallerHeaders.WORKSPACE);
		assertThat(response.statusCode()).isEqualTo(202);
		assertThat(response.body()).isEqualTo("taken");
		assertThat(response.headers().map()).containsKey("x-receipt").doesNotContainKey("x-hop");
	}

	@Test
	void onlyNamedPathsAreRepeatable() throws Exception {
		this.server.send(this.server.request("/v1/services/notify/status/7"));
		assertThat(this.arrived.spec().repeatable()).isTrue();
		this.server.send(this.server.request("/v1/services/notify/alerts"));
		assertThat(this.arrived.spec().repeatable()).isFalse();
		this.server.send(this.server.request("/v1/services/notify/alerts?status"));
		assertThat(this.arrived.spec().repeatable()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(strings = { "status/../alerts", "status/%2e%2e/alerts", "status//alerts", "status%2F..%2Falerts",
			"status/..;/alerts", "status/%252e%252e/alerts" })
	void ambiguousPathsAreRefused(String path) throws Exception {
		HttpResponse<String> response = this.server.send(this.server.request("/v1/services/notify/" + path));
		assertThat(response.statusCode()).isEqualTo(400);
		assertThat(this.server.reducer.events).isEmpty();
	}

	@Test
	void fingerprintCoversPathAndBody() throws Exception {
		long first = send("alerts", "a").fingerprint();
		assertThat(send("alerts", "a").fingerprint()).isEqualTo(first);
		assertThat(send("alerts", "b").fingerprint()).isNotEqualTo(first);
		assertThat(send("alarms", "a").fingerprint()).isNotEqualTo(first);
	}

	@Test
	void storedAnswerKeepsStatusAndType() throws Exception {
		send("alerts", "a");
		StoredAnswer stored = this.arrived.storedAnswer().orElseThrow();
		this.server.reducer.onArrived = (exchange) -> this.server.effects
			.handle(new RequestEffect.Replay(exchange.spec().requestId(), stored));
		HttpResponse<String> response = this.server.send(this.server.request("/v1/services/notify/alerts"));
		assertThat(response.statusCode()).isEqualTo(202);
		assertThat(response.headers().firstValue("Content-Type")).hasValue("text/plain");
		assertThat(response.body()).isEqualTo("taken");
	}

	private RequestSpec send(String path, String body) throws Exception {
		this.server.post("/v1/services/notify/" + path, body);
		return this.arrived.spec();
	}

}
