package io.mulberrylift.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.daemon.exchange.CallerExchange;
import io.mulberrylift.daemon.exchange.ExchangeTable;
import io.mulberrylift.daemon.fuzz.FuzzSource;
import io.mulberrylift.daemon.metrics.CallerMetrics;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Fuzz target for the validation of callers' requests.
 */
public final class CallerFuzz {

	private static final Optional<FleetConfiguration> FLEET = Optional.of(TestServer.fleet(TestServer.FLEET));

	private static final List<String> PATHS = List.of("/v1/completions", "/v1/chat/completions",
			"/v1/services/notify/alerts", "/v1/services/notify/status/%20a", "/v1/services/notify");

	private static final List<String> BODIES = List.of("""
			{"model": "outlook", "prompt": "Is Ring Road icy?", "max_tokens": 200, "stream": true, "n": 1,
			 "stream_options": {"include_usage": true}}""", """
			{"model": "outlook", "messages": [{"role": "user", "content": "Ice?"},
			 {"role": "user", "content": [{"type": "text", "text": "Snow?"}]}], "max_completion_tokens": 5}""",
			"{\"model\": \"outlook\", \"prompt\": [\"a\"], \"stop\": null, \"best_of\": 1}");

	private static final Map<String, List<String>> HEADERS = Map.of(CallerHeaders.WORKSPACE,
			List.of("rm-sherwood", "locked"), CallerHeaders.PROFILE, List.of("ice-briefing", "alert"),
			CallerHeaders.DEADLINE, List.of("8000", "1"), CallerHeaders.KEY,
			List.of("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", "\"ticket-1\"", "ticket-1"), CallerHeaders.FIRST_SENT,
			List.of("1700000000000", "-1", "9223372036854775807"), CallerHeaders.AUTHORIZATION,
			List.of("Bearer gate-secret", "bearer"), "Connection", List.of("close, X-Hop"));

	// Sorted, because the iteration order of an immutable map differs from run to run.
	private static final List<String> HEADER_NAMES = HEADERS.keySet().stream().sorted().toList();

	private CallerFuzz() {
	}

	/**
	 * Validates a request with randomly damaged path, query, headers and body.
	 * @param source generates the input
	 */
	public static void tryRequest(FuzzSource source) {
		CallerRequest request = request(source);
		Optional<FleetConfiguration> fleet = (source.nextInt(20) > 0) ? FLEET : Optional.empty();
		CallerGateway gateway = new CallerGateway(new ExchangeTable(), (event) -> {
		}, () -> fleet, new CallerMetrics(new MetricRegistry()), InstantSource.system());
		CheckResult<CallerExchange> result = CallerRoute.of(request.path()).start(gateway, request, null);
		if (result instanceof CheckResult.Refused<CallerExchange> refused) {
			Refusal refusal = gateway.recordRefusal(refused.refusal(), request);
			assertThat(refusal.outcome()).isIn(Outcome.NOT_RUN, Outcome.UNKNOWN);
			assertThat(CallerJson.write(ProblemDocument.of(refusal))).isNotEmpty();
		}
		else if (result instanceof CheckResult.Valid<CallerExchange> valid) {
			assertThat(valid.value().spec().timeoutMillis()).isPositive();
		}
	}

	private static CallerRequest request(FuzzSource source) {
		Map<String, List<String>> headers = new HashMap<>();
		HEADER_NAMES.forEach((name) -> {
			if (source.nextInt(8) > 0) {
				headers.put(name, List.of(damageText(source, source.pick(HEADERS.get(name)))));
			}
		});
		String path = damageText(source, source.pick(PATHS));
		String body = (source.nextInt(4) > 0) ? source.mutateJson(source.pick(BODIES)) : source.pick(BODIES);
		return new CallerRequest((source.nextInt(10) > 0) ? "POST" : "GET", path, damageText(source, ""), headers,
				body.getBytes(StandardCharsets.UTF_8));
	}

	private static String damageText(FuzzSource source, String valid) {
		switch (source.nextInt(12)) {
			case 0:
				return source.randomText();
			case 1:
				return valid + source.randomText();
			case 2:
				return new String(source.mutate(valid.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
			default:
				return valid;
		}
	}

}
