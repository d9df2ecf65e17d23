package io.mulberrylift.daemon.caller;

import java.util.List;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.health.HealthCheckRegistry;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.jackson.Jackson;
import io.dropwizard.jetty.ConnectorFactory;
import io.dropwizard.jetty.GzipHandlerFactory;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.jetty.HttpsConnectorFactory;
import io.dropwizard.request.logging.LogbackAccessRequestLogFactory;
import io.dropwizard.util.DataSize;
import io.dropwizard.util.Duration;
import io.mulberrylift.daemon.settings.InstanceSettings;
import io.mulberrylift.daemon.settings.TlsSettings;
import jakarta.servlet.ServletRegistration;
import jakarta.validation.Validation;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/**
 * The Dropwizard server for callers and operators.
 *
 * <p>
 * Not thread-safe; started and stopped by the same thread.
 * </p>
 */
public final class HttpServer {

	private static final String CALLER_CONNECTOR = "application";

	private static final String OPERATOR_CONNECTOR = "admin";

	private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

	private static final long STOP_MILLIS = 2_000;

	private final InstanceSettings settings;

	private final Server server;

	/**
	 * Creates the server.
	 * @param settings listen addresses and limits
	 * @param metrics registry for the server's metrics
	 * @param callers servlet for callers' requests
	 * @param setups register resources for callers and operators
	 */
	public HttpServer(InstanceSettings settings, MetricRegistry metrics, CallerServlet callers,
			List<HttpSetup> setups) {
		this.settings = settings;
		Environment environment = new Environment("mulberrylift", Jackson.newObjectMapper(),
				Validation.buildDefaultValidatorFactory(), metrics, HttpServer.class.getClassLoader(),
				new HealthCheckRegistry(), new Configuration());
		ServletRegistration.Dynamic registration = environment.servlets().addServlet("callers", callers);
		registration.setAsyncSupported(true);
		registration.addMapping(CallerRoute.COMPLETION_PATH, CallerRoute.CHAT_PATH, ServicePath.PREFIX + "*");
		setups.forEach((setup) -> setup.configure(environment));
		this.server = factory().build(environment);
	}

	/**
	 * Opens both ports.
	 * @throws Exception if a port cannot be opened
	 */
	public void start() throws Exception {
		this.server.start();
	}

	/**
	 * Closes both ports and aborts calls that are still open. To let them finish, call
	 * {@link OpenCalls#awaitIdle(long)} first.
	 * @throws Exception if the server does not stop
	 */
	public void stop() throws Exception {
		this.server.stop();
	}

	/**
	 * Returns the caller port.
	 * @return the local port; the server must have been started
	 */
	public int callerPort() {
		return port(CALLER_CONNECTOR);
	}

	/**
	 * Returns the operator port.
	 * @return the local port; the server must have been started
	 */
	public int operatorPort() {
		return port(OPERATOR_CONNECTOR);
	}

	private int port(String name) {
		for (Connector connector : this.server.getConnectors()) {
			if (name.equals(connector.getName()) && connector instanceof ServerConnector open) {
				return open.getLocalPort();
			}
		}
		throw new IllegalStateException("The server has no connector " + name);
	}

	private DefaultServerFactory factory() {
		DefaultServerFactory factory = new DefaultServerFactory();
		factory.setApplicationConnectors(List.of(callerConnector()));
		factory.setAdminConnectors(List.of(operatorConnector()));
		factory.setAllowedMethods(METHODS);
		factory.setShutdownGracePeriod(Duration.milliseconds(STOP_MILLIS));
		factory.setRegisterDefaultExceptionMappers(true);
		factory.setEnableThreadNameFilter(false);
		GzipHandlerFactory noCompression = new GzipHandlerFactory();
		noCompression.setEnabled(false);
		factory.setGzipFilterFactory(noCompression);
		LogbackAccessRequestLogFactory noRequestLog = new LogbackAccessRequestLogFactory();
		noRequestLog.setAppenders(List.of());
		factory.setRequestLogFactory(noRequestLog);
		return factory;
	}

	private ConnectorFactory callerConnector() {
		HttpConnectorFactory connector = this.settings.callers()
			.tls()
			.map(HttpServer::tlsConnector)
			.orElseGet(HttpConnectorFactory::new);
		connector.setBindHost(this.settings.callers().host());
		connector.setPort(this.settings.callers().port());
		connector.setMaxRequestHeaderSize(DataSize.bytes(this.settings.limits().maxHeaderBytes()));
		connector.setIdleTimeout(Duration.milliseconds(this.settings.limits().idleTimeoutMillis()));
		return connector;
	}

	private ConnectorFactory operatorConnector() {
		HttpConnectorFactory connector = new HttpConnectorFactory();
		connector.setBindHost(this.settings.operators().host());
		connector.setPort(this.settings.operators().port());
		return connector;
	}

	private static HttpConnectorFactory tlsConnector(TlsSettings tls) {
		HttpsConnectorFactory connector = new HttpsConnectorFactory();
		connector.setKeyStorePath(tls.keyStorePath());
		connector.setKeyStorePassword(tls.keyStorePassword());
		connector.setKeyStoreType("PKCS12");
		return connector;
	}

	/**
	 * Registers resources for callers and operators.
	 */
	@FunctionalInterface
	public interface HttpSetup {

		/**
		 * Registers resources.
		 * @param environment the server's environment
		 */
		void configure(Environment environment);

	}

}
