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
 * Adds the operators' resources to the server's operator port.
 *
 * <p>
 * Not safe for use by several threads; used once before the server starts.
 * </p>
 */
public final class OperatorSetup {

	private final MetricRegistry metrics;

	private final ReadinessSource readiness;

	private final StateSource state;

	private final ConfigurationSource configuration;

	/**
	 * Creates the setup.
	 * @param metrics the metrics of the process
	 * @param readiness tells whether the instance is ready
	 * @param state gives the state of every part
	 * @param configuration tells which configuration is in force
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
	 * Adds the resources. Paths that none of them has are left to Dropwizard's own pages.
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
	 * Shows readiness among Dropwizard's health checks.
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
