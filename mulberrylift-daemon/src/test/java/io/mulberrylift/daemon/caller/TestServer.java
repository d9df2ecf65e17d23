package io.mulberrylift.daemon.caller;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import com.google.inject.AbstractModule;
import com.google.inject.Guice;
import com.google.inject.Injector;
import com.google.inject.TypeLiteral;
import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.daemon.admin.ConfigurationSource;
import io.mulberrylift.daemon.admin.ReadinessSource;
import io.mulberrylift.daemon.admin.StateSource;
import io.mulberrylift.daemon.exchange.ExchangeTable;
import io.mulberrylift.daemon.loop.EventSink;
import io.mulberrylift.daemon.settings.InstanceSettings;
import io.mulberrylift.daemon.settings.InstanceSettingsReader;
import io.mulberrylift.daemon.settings.PublishedConfigurationParser;
import io.mulberrylift.daemon.settings.SettingsCheck;

/**
 * HTTP server on free ports that submits requests to a fake reducer.
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

	final MetricRegistry metrics;

	final ExchangeTable exchanges;

	final FakeReducer reducer = new FakeReducer();

	final AtomicReference<Optional<FleetConfiguration>> configuration = new AtomicReference<>(
			Optional.of(fleet(FLEET)));

	final RequestEffectHandler effects;

	volatile Optional<String> notReadyReason = Optional.empty();

	final OpenCalls openCalls;

	final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final HttpServer server;

	TestServer() throws Exception {
		this("");
	}

	TestServer(String limits) throws Exception {
		InstanceSettings settings = settings(limits);
		Injector injector = Guice.createInjector(new HttpModule(), new TestModule(settings));
		this.metrics = injector.getInstance(MetricRegistry.class);
		this.exchanges = injector.getInstance(ExchangeTable.class);
		this.reducer.exchanges = this.exchanges;
		this.effects = injector.getInstance(RequestEffectHandler.class);
		this.openCalls = injector.getInstance(OpenCalls.class);
		this.server = injector.getInstance(HttpServer.class);
		this.server.start();
	}

	int port() {
		return this.server.callerPort();
	}

	HttpResponse<String> getAsOperator(String path) throws IOException, InterruptedException {
		URI uri = URI.create("http://127.0.0.1:" + this.server.operatorPort() + path);
		return send(HttpRequest.newBuilder(uri));
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

	/**
	 * Provides the bindings that the embedding module provides in production.
	 */
	private final class TestModule extends AbstractModule {

		private final InstanceSettings settings;

		TestModule(InstanceSettings settings) {
			this.settings = settings;
		}

		@Override
		protected void configure() {
			bind(InstanceSettings.class).toInstance(this.settings);
			bind(EventSink.class).toInstance(TestServer.this.reducer);
			bind(new TypeLiteral<Supplier<Optional<FleetConfiguration>>>() {
			}).toInstance(TestServer.this.configuration::get);
			bind(ReadinessSource.class).toInstance(() -> TestServer.this.notReadyReason);
			bind(StateSource.class).toInstance(() -> List.of("requests", TestServer.this.exchanges.size()));
			bind(ConfigurationSource.class)
				.toInstance(() -> new ConfigurationSource.ConfigurationStatus(OptionalLong.of(4),
						Optional.of(new ConfigurationSource.RejectedVersion(5, List.of()))));
		}

	}

}
