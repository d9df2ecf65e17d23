package io.mulberrylift.daemon.caller;

import java.io.ByteArrayInputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;

import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.effect.RequestEffect;
import io.mulberrylift.core.event.RequestEvent;
import io.mulberrylift.core.model.IdempotencyKey;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the validation of requests before they reach the reducer.
 */
class CheckTests {

	private static final String V7_KEY = "01890A5D-AC96-774B-BCCE-B302099A8057";

	private static final String BODY = "{\"model\":\"outlook\",\"prompt\":\"Ice?\"}";

	private static TestServer server;

	@BeforeAll
	static void start() throws Exception {
		server = new TestServer("\"maxBodyBytes\": 4096, \"bodyTimeoutMillis\": 60000");
	}

	@AfterAll
	static void stop() throws Exception {
		server.close();
	}

	@BeforeEach
	void refuseAll() {
		server.reducer.events.clear();
		server.reducer.onArrived = (exchange) -> server.effects.handle(new RequestEffect.Refuse(
				exchange.spec().requestId(), Refusal.of(Outcome.NOT_RUN, RefusalReason.OVERLOADED, "")));
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			value = { "{ | bad-request", "{\"model\":\"outlook\",\"prompt\":7} | bad-request",
					"{\"model\":\"outlook\",\"prompt\":\"\"} | bad-request",
					"{\"model\":\"outlook\",\"prompt\":\"a\",\"max_tokens\":0} | bad-request",
					"{\"model\":\"outlook\",\"prompt\":\"a\",\"max_tokens\":4097} | bad-request",
					"{\"model\":\"outlook\",\"prompt\":\"a\",\"n\":2} | bad-request",
					"{\"model\":\"outlook\",\"prompt\":\"a\",\"stop\":\"b\"} | bad-request",
					"{\"model\":\"outlook\",\"prompt\":\"a\",\"stream\":\"yes\"} | bad-request",
					"{\"model\":\"other\",\"prompt\":\"a\"} | unknown-target" })
	void faultyBodiesDoNotReachTheReducer(String body, String reason) throws Exception {
		assertRefused(server.post("/v1/completions", body), reason);
	}

	@ParameterizedTest
	@CsvSource({ "Mulberrylift-Profile,other,unknown-profile", "Mulberrylift-Workspace,other,unknown-workspace",
			"Mulberrylift-Workspace,locked,unauthorized", "Mulberrylift-Deadline-Millis,0,bad-request",
			"Mulberrylift-Deadline-Millis,60001,bad-request", "Mulberrylift-Deadline-Millis,soon,bad-request",
			"Mulberrylift-Profile,alert,key-required" })
	void faultyHeadersDoNotReachTheReducer(String name, String value, String reason) throws Exception {
		assertRefused(server.send(completion().setHeader(name, value)), reason);
	}

	@Test
	void workspaceRequiresItsCredential() throws Exception {
		HttpRequest.Builder request = completion().setHeader(CallerHeaders.WORKSPACE, "locked");
		assertRefused(server.send(request.setHeader(CallerHeaders.AUTHORIZATION, "Bearer wrong")), "unauthorized");
		server.send(request.setHeader(CallerHeaders.AUTHORIZATION, "Bearer gate-secret"));
		assertThat(server.reducer.events).hasSize(1);
	}

	@Test
	void uuidOfVersionSevenCarriesItsTime() throws Exception {
		server.send(alert().setHeader(CallerHeaders.KEY, V7_KEY));
		assertThat(arrivedKey()).isEqualTo(new IdempotencyKey("01890a5d-ac96-774b-bcce-b302099a8057", 0x01890a5dac96L));
	}

	@Test
	void opaqueKeyNeedsTheTimeOfItsFirstSend() throws Exception {
		assertUnknown(server.send(alert().setHeader(CallerHeaders.KEY, "ticket-1")), "key-required");
		server.send(alert().setHeader(CallerHeaders.KEY, "ticket-1").setHeader(CallerHeaders.FIRST_SENT, "1234"));
		assertThat(arrivedKey()).isEqualTo(new IdempotencyKey("ticket-1", 1_234));
	}

	@ParameterizedTest
	@CsvSource({ "Mulberrylift-Profile,other,unknown-profile", "Mulberrylift-Workspace,other,unknown-workspace",
			"Mulberrylift-Workspace,locked,unauthorized", "Mulberrylift-Deadline-Millis,soon,bad-request" })
	void refusalOfAKeyThatMayHaveRunIsUnknown(String name, String value, String reason) throws Exception {
		assertUnknown(server.send(alert().setHeader(CallerHeaders.KEY, V7_KEY).setHeader(name, value)), reason);
	}

	@Test
	void refusalOfAKeyIsUnknownForAnyBody() throws Exception {
		HttpRequest.Builder keyed = alert().setHeader(CallerHeaders.KEY, V7_KEY);
		assertUnknown(server.send(keyed.POST(HttpRequest.BodyPublishers.ofString("{"))), "bad-request");
		assertUnknown(server.send(keyed.POST(HttpRequest.BodyPublishers.ofString("x".repeat(4_097)))),
				"body-too-large");
		HttpRequest.Builder untimed = alert().setHeader(CallerHeaders.KEY, "ticket-1");
		assertUnknown(server.send(untimed.setHeader(CallerHeaders.FIRST_SENT, "soon")), "bad-request");
	}

	@Test
	void refusalOfAKeyWithoutAConfigurationIsUnknown() throws Exception {
		Optional<FleetConfiguration> fleet = server.configuration.getAndSet(Optional.empty());
		try {
			assertUnknown(server.send(alert().setHeader(CallerHeaders.KEY, V7_KEY)), "not-ready");
			assertRefused(server.send(alert()), "not-ready");
		}
		finally {
			server.configuration.set(fleet);
		}
	}

	@Test
	void refusalOfAnInvalidKeyIsNotRun() throws Exception {
		assertRefused(server.send(alert().setHeader(CallerHeaders.KEY, "a".repeat(129))), "bad-request");
		assertRefused(server.send(alert().setHeader(CallerHeaders.KEY, "\" \"")), "bad-request");
	}

	@Test
	void refusalOfRepeatableWorkIsNotRun() throws Exception {
		HttpRequest.Builder keyed = completion().setHeader(CallerHeaders.KEY, V7_KEY);
		assertRefused(server.send(keyed.setHeader("Mulberrylift-Deadline-Millis", "soon")), "bad-request");
	}

	@ParameterizedTest
	@CsvSource({ "notify/status/1,false", "notify/alerts,true", "other/status/1,true", "notify/status/../alerts,true" })
	void pathDecidesWhetherARefusedServiceCallMayHaveRun(String rest, boolean mayHaveRun) throws Exception {
		HttpRequest.Builder call = server.request("/v1/services/" + rest)
			.POST(HttpRequest.BodyPublishers.ofString("x".repeat(4_097)))
			.setHeader(CallerHeaders.KEY, V7_KEY);
		HttpResponse<String> response = server.send(call);
		if (mayHaveRun) {
			assertUnknown(response, "body-too-large");
		}
		else {
			assertRefused(response, "body-too-large");
		}
	}

	@Test
	void announcedBodyOverTheLimitIsRefused() throws Exception {
		assertRefused(server.post("/v1/completions", "x".repeat(4_097)), "body-too-large");
	}

	@Test
	void chunkedBodyOverTheLimitIsRefused() throws Exception {
		byte[] body = new byte[4_097];
		HttpRequest.Builder request = server.request("/v1/completions")
			.POST(HttpRequest.BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(body)));
		assertRefused(server.send(request), "body-too-large");
	}

	@ParameterizedTest
	@ValueSource(strings = { "/v1/services", "/v1/completions;a", "/v1/chat/completions;a" })
	void pathsInUnusualFormAreRefused(String path) throws Exception {
		assertRefused(server.post(path, BODY), "bad-request");
	}

	@Test
	void unsupportedMethodIsRefused() throws Exception {
		assertRefused(server.send(server.request("/v1/completions").GET()), "bad-request");
	}

	private static HttpRequest.Builder completion() {
		return server.request("/v1/completions").POST(HttpRequest.BodyPublishers.ofString(BODY));
	}

	private static HttpRequest.Builder alert() {
		return completion().setHeader(CallerHeaders.PROFILE, "alert");
	}

	private static IdempotencyKey arrivedKey() {
		return ((RequestEvent.Arrived) server.reducer.events.get(0)).spec().key().orElseThrow();
	}

	private static void assertUnknown(HttpResponse<String> response, String reason) {
		assertThat(response.body()).contains("\"reason\":\"" + reason + "\"")
			.contains("\"outcome\":\"unknown\"")
			.contains("this send did not run, but an earlier send with the same key may have");
		assertThat(server.reducer.events).isEmpty();
	}

	private static void assertRefused(HttpResponse<String> response, String reason) {
		assertThat(response.body()).contains("\"reason\":\"" + reason + "\"").contains("\"outcome\":\"not-run\"");
		assertThat(server.reducer.events).isEmpty();
	}

}
