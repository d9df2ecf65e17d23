package io.mulberrylift.daemon.caller;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicReference;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.daemon.exchange.ExchangeTable;
import io.mulberrylift.daemon.metrics.CallerMetrics;
import io.mulberrylift.daemon.settings.InstanceSettings;
import io.mulberrylift.daemon.settings.InstanceSettingsReader;
import io.mulberrylift.daemon.settings.PublishedConfigurationParser;
import io.mulberrylift.daemon.settings.SettingsCheck;

/**
 * A server on free ports with a fake reducer behind it.
 */
final class TestServer implements AutoCloseable {

	/** SHA-256 of the credential "gate-secret". */
	static final String CREDENTIAL_SHA256 = Hashing.sha256()
		.hashString("gate-secret", StandardCharsets.UTF_8)
		.toString();

	static final String FLEET = """
			{
			  "witnessZones": ["regina-hall"],
			  "models": {"outlook": {"maxPromptTokens": 1000000, "maxOutputTokens": 4096}},
			  "services": {"notify": {"repeatablePaths": ["status"]}},
			  "profiles": {
			    "ice-briefing": {"priority": 5, "defaultTimeoutMillis": 5000, "maxTimeoutMillis": 60000, "repeatable": true},
			    "alert": {"priority": 9, "defaultTimeoutMillis": 5000, "maxTimeoutMillis": 60000, "keyRequired": true}
			  },
			  "workspaces": {"rm-sherwood": {}, "locked": {"credentialSha256": "%s"}}
			}
			"""
		.formatted(CREDENTIAL_SHA256);

	final MetricRegistry metrics = new MetricRegistry();

	final ExchangeTable exchanges = new ExchangeTable();

	final FakeReducer reducer = new FakeReducer(this.exchanges);

	final AtomicReference<Optional<FleetConfiguration>> configuration = new AtomicReference<>(
			Optional.of(fleet(FLEET)));

	final RequestEffectHandler effects = new RequestEffectHandler(this.exchanges, new CallerMetrics(this.metrics));

	final OpenCalls openCalls;

	final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final HttpServer server;

	TestServer() throws Exception {
		this("");
	}

	TestServer(String limits) throws Exception {
		InstanceSettings settings = settings(limits);
		this.openCalls = new OpenCalls(settings.limits().maxConcurrentCallers(), settings.limits().maxTotalBodyBytes());
		CallerGateway gateway = new CallerGateway(this.exchanges, this.reducer, this.configuration::get,
				new CallerMetrics(this.metrics), InstantSource.fixed(Instant.ofEpochSecond(1_700_000_000)));
		CallerServlet servlet = new CallerServlet(gateway, this.openCalls, settings.limits().maxBodyBytes(),
				settings.limits().bodyTimeoutMillis(), this.timer);
		this.server = new HttpServer(settings, this.metrics, servlet, (environment) -> {
		});
		this.server.start();
	}

	int port() {
		return this.server.callerPort();
	}

	HttpRequest.Builder request(String path) {
		return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port() + path))
			.header(CallerHeaders.WORKSPACE, "rm-sherwood")
			.header(CallerHeaders.PROFILE, "ice-briefing");
	}

	HttpResponse<String> post(String path, String body) throws IOException, InterruptedException {
		return send(request(path).POST(HttpRequest.BodyPublishers.ofString(body)));
	}

	HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	@Override
	public void close() throws Exception {
		this.server.stop();
		this.timer.shutdownNow();
	}

	static FleetConfiguration fleet(String json) {
		ConfigurationCheck check = PublishedConfigurationParser.check(new PublishedDocument(1, json));
		return ((ConfigurationCheck.Accepted) check).configuration();
	}

	private static InstanceSettings settings(String limits) {
		SettingsCheck<InstanceSettings> check = InstanceSettingsReader.read("""
				{"instanceId": "regina-1", "zone": "regina-hall", "callers": {"host": "127.0.0.1", "port": 0},
				 "operators": {"host": "127.0.0.1", "port": 0}, "peers": {"host": "127.0.0.1", "port": 0},
				 "platform": {"baseUrl": "http://127.0.0.1:1"}, "limits": {%s}}
				""".formatted(limits));
		return ((SettingsCheck.Valid<InstanceSettings>) check).value();
	}

}
