package io.mulberrylift.daemon.admin;

import java.util.EnumSet;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.health.HealthCheck;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.jersey.DropwizardResourceConfig;
import jakarta.inject.Inject;
import jakarta.servlet.DispatcherType;
import jakarta.servlet.FilterRegistration;
import org.glassfish.jersey.servlet.ServletContainer;
import org.glassfish.jersey.servlet.ServletProperties;

/**
 * Registers the resources and the health check of the operator port.
 *
 * <p>
 * Not thread-safe; call once before the server starts.
 * </p>
 */
public final class OperatorSetup {

	private final MetricRegistry metrics;

	private final ReadinessSource readiness;

	private final StateSource state;

	private final ConfigurationSource configuration;

	/**
	 * Creates the setup.
	 * @param metrics metrics of the process
	 * @param readiness source of the instance's readiness
	 * @param state source of the state dump
	 * @param configuration source of the configuration status
	 */
	@Inject
	public OperatorSetup(MetricRegistry metrics, ReadinessSource readiness, StateSource state,
			ConfigurationSource configuration) {
		this.metrics = metrics;
		this.readiness = readiness;
		this.state = state;
		this.configuration = configuration;
	}

	/**
	 * Registers the resources and the health check. Requests for other paths are
	 * forwarded to Dropwizard's own admin pages.
	 * @param environment the server's environment
	 */
	public void configure(Environment environment) {
		DropwizardResourceConfig resources = new DropwizardResourceConfig(this.metrics);
		resources.property(ServletProperties.FILTER_FORWARD_ON_404, true);
		resources.register(new HealthResource(this.readiness));
		resources.register(new StateResource(this.state, this.configuration));
		resources.register(new MetricsResource(this.metrics));
		FilterRegistration.Dynamic filter = environment.admin().addFilter("operators", new ServletContainer(resources));
		filter.setAsyncSupported(true);
		filter.addMappingForUrlPatterns(EnumSet.of(DispatcherType.REQUEST), true, "/*");
		environment.healthChecks().register("ready", new ReadinessCheck(this.readiness));
	}

	/**
	 * Reports readiness as a Dropwizard health check.
	 */
	private static final class ReadinessCheck extends HealthCheck {

		private final ReadinessSource readiness;

		ReadinessCheck(ReadinessSource readiness) {
			this.readiness = readiness;
		}

		@Override
		protected Result check() {
			return this.readiness.notReadyReason().map(Result::unhealthy).orElseGet(Result::healthy);
		}

	}

}
