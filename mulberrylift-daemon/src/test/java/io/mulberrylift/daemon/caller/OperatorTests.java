package io.mulberrylift.daemon.caller;

import java.net.http.HttpResponse;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the operator port and of paths that callers must not reach.
 */
class OperatorTests {

	private TestServer server;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer();
	}

	@AfterEach
	void stop() throws Exception {
		this.server.close();
	}

	@Test
	void readinessFollowsItsSource() throws Exception {
		assertThat(this.server.getAsOperator("/readyz").statusCode()).isEqualTo(200);
		this.server.notReadyReason = Optional.of("no instance list");
		HttpResponse<String> response = this.server.getAsOperator("/readyz");
		assertThat(response.statusCode()).isEqualTo(503);
		assertThat(response.body()).isEqualTo("not ready: no instance list\n");
		assertThat(this.server.getAsOperator("/healthz").statusCode()).isEqualTo(200);
	}

	@Test
	void stateAndConfigurationAreJson() throws Exception {
		JsonNode state = CallerJson.mapper().readTree(this.server.getAsOperator("/admin/state").body());
		JsonNode configuration = CallerJson.mapper().readTree(this.server.getAsOperator("/admin/configuration").body());
		assertThat(state.toString()).isEqualTo("[\"requests\",0]");
		assertThat(configuration.path("versionInForce").asLong()).isEqualTo(4);
		assertThat(configuration.path("lastRejected").path("version").asLong()).isEqualTo(5);
	}

	@Test
	void metricsShowRefusals() throws Exception {
		this.server.post("/v1/completions", "{");
		assertThat(this.server.getAsOperator("/metrics").body()).contains("caller_refusals_bad_request 1.0");
	}

	@Test
	void callersCannotReachOperatorPaths() throws Exception {
		HttpResponse<String> response = this.server.send(this.server.request("/admin/state"));
		assertThat(response.statusCode()).isEqualTo(404);
		assertThat(response.body()).contains("\"outcome\":\"not-run\"");
	}

	@Test
	void modelsAreListed() throws Exception {
		assertThat(this.server.send(this.server.request("/v1/models")).body()).contains("\"id\":\"outlook\"");
	}

}
