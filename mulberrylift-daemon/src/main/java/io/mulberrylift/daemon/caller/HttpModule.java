package io.mulberrylift.daemon.caller;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.daemon.admin.OperatorSetup;
import io.mulberrylift.daemon.exchange.ExchangeTable;
import io.mulberrylift.daemon.loop.EventSink;
import io.mulberrylift.daemon.metrics.CallerMetrics;
import io.mulberrylift.daemon.settings.InstanceSettings;

/**
 * Guice module of the HTTP server for callers and operators.
 *
 * <p>
 * The embedding module binds {@link InstanceSettings}, {@link EventSink}, a supplier of
 * the configuration in force, and the three sources of the operator resources.
 * </p>
 */
public final class HttpModule extends AbstractModule {

	private final List<HttpServer.HttpSetup> furtherSetups;

	/**
	 * Creates the module.
	 * @param furtherSetups register resources in addition to those of the module
	 */
	public HttpModule(HttpServer.HttpSetup... furtherSetups) {
		this.furtherSetups = List.of(furtherSetups);
	}

	@Provides
	@Singleton
	MetricRegistry metricRegistry() {
		return new MetricRegistry();
	}

	@Provides
	@Singleton
	ExchangeTable exchangeTable() {
		return new ExchangeTable();
	}

	@Provides
	@Singleton
	CallerMetrics callerMetrics(MetricRegistry metrics) {
		return new CallerMetrics(metrics);
	}

	@Provides
	@Singleton
	OpenCalls openCalls(InstanceSettings settings) {
		return new OpenCalls(settings.limits().maxConcurrentCallers(), settings.limits().maxTotalBodyBytes());
	}

	@Provides
	@Singleton
	RequestEffectHandler requestEffectHandler(ExchangeTable exchanges, CallerMetrics metrics) {
		return new RequestEffectHandler(exchanges, metrics);
	}

	@Provides
	@Singleton
	CallerGateway callerGateway(ExchangeTable exchanges, EventSink events,
			Supplier<Optional<FleetConfiguration>> configuration, CallerMetrics metrics) {
		return new CallerGateway(exchanges, events, configuration, metrics, InstantSource.system());
	}

	@Provides
	@Singleton
	CallerServlet callerServlet(CallerGateway gateway, OpenCalls openCalls, InstanceSettings settings) {
		ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
				new ThreadFactoryBuilder().setNameFormat("caller-timer").setDaemon(true).build());
		return new CallerServlet(gateway, openCalls, settings.limits().maxBodyBytes(),
				settings.limits().bodyTimeoutMillis(), timer);
	}

	@Provides
	@Singleton
	HttpServer httpServer(InstanceSettings settings, MetricRegistry metrics, CallerServlet callers,
			CallerGateway gateway, OperatorSetup operators) {
		List<HttpServer.HttpSetup> setups = new ArrayList<>(this.furtherSetups);
		setups.add(operators::configure);
		setups.add((environment) -> {
			environment.jersey().register(new ModelsResource(gateway));
			environment.jersey().register(new UnknownPathMapper());
		});
		return new HttpServer(settings, metrics, callers, setups);
	}

}
