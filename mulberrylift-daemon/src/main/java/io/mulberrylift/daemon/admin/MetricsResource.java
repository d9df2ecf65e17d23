package io.mulberrylift.daemon.admin;

import java.io.IOException;
import java.io.StringWriter;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;

/**
 * Serves all metrics in the Prometheus text format.
 *
 * <p>
 * Thread-safe.
 * </p>
 */
@Path("metrics")
public final class MetricsResource {

	private final CollectorRegistry collectors = new CollectorRegistry();

	/**
	 * Creates the resource.
	 * @param metrics metrics of the process
	 */
	public MetricsResource(MetricRegistry metrics) {
		this.collectors.register(new DropwizardExports(metrics));
	}

	/**
	 * Renders the current values of all metrics.
	 * @return the metrics in the Prometheus text format
	 * @throws IOException never, as the text is written to memory
	 */
	@GET
	@Produces(TextFormat.CONTENT_TYPE_004)
	public String metrics() throws IOException {
		StringWriter text = new StringWriter();
		TextFormat.write004(text, this.collectors.metricFamilySamples());
		return text.toString();
	}

}
