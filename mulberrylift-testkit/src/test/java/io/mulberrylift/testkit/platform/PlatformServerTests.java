package io.mulberrylift.testkit.platform;

import java.io.IOException;
import java.io.StringWriter;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.testkit.history.HistoryWriter;
import io.mulberrylift.testkit.http.Json;
import io.mulberrylift.testkit.http.TestClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

/**
 * Contract tests for {@link PlatformServer}.
 */
class PlatformServerTests {

	private static final long WAIT_SECONDS = 60;

	private final StringWriter history = new StringWriter();

	private final PlatformServer platform = new PlatformServer(0, new HistoryWriter(this.history));

	private final TestClient client = new TestClient();

	@BeforeEach
	void start() {
		this.platform.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.client.close();
		this.platform.stop();
	}

	@Test
	void configurationIsReadAndCounted() throws IOException {
		assertThat(this.client.status("GET", url("/configuration?after=0&waitMillis=0"), "")).isEqualTo(204);
		assertThat(this.client.post(url("/control/configuration"), "{\"document\":\"one\"}"))
			.isEqualTo("{\"version\":1}");
		JsonNode read = get("/configuration?after=0&waitMillis=0");
		assertThat(read.get("version").asLong()).isEqualTo(1);
		assertThat(read.get("document").asText()).isEqualTo("one");
		assertThat(this.client.status("GET", url("/configuration?after=1&waitMillis=5"), "")).isEqualTo(204);
		assertThat(get("/control/reads").get("configuration").asLong()).isEqualTo(3);
	}

	@Test
	void watchEndsWithTheNextVersion() throws Exception {
		CompletableFuture<JsonNode> watch = CompletableFuture.supplyAsync(() -> {
			try {
				return get("/configuration?after=1&waitMillis=600000");
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
		this.platform.publish("one");
		awaitOneWatch();
		this.platform.publish("two");
		assertThat(watch.get(WAIT_SECONDS, TimeUnit.SECONDS).get("document").asText()).isEqualTo("two");
	}

	@Test
	void listContainsInstancesEndpointsAndTheTimeOfConfirmation() throws IOException {
		this.platform.add(new ListedInstance("instance-1", "zone-1", "127.0.0.1:1", false, 0));
		this.platform.add(new ListedEndpoint("engine-1", WorkKind.MODEL, "zone-1", "127.0.0.1:2", Set.of("forecast"),
				400_000, true, false));
		long before = System.currentTimeMillis();
		JsonNode list = get("/instances");
		assertThat(list.get("version").asLong()).isEqualTo(2);
		assertThat(list.get("publishedAtEpochMillis").asLong()).isGreaterThanOrEqualTo(before);
		assertThat(list.get("instances").get(0).get("listedSinceEpochMillis").asLong()).isBetween(1L, before);
		assertThat(list.get("endpoints").get(0).get("kind").asText()).isEqualTo("MODEL");
		this.client.status("POST", url("/control/instances"),
				"{\"leaving\":[\"engine-1\"],\"remove\":[\"instance-1\"]}");
		JsonNode changed = get("/instances");
		assertThat(changed.get("endpoints").get(0).get("leaving").asBoolean()).isTrue();
		assertThat(changed.get("instances")).isEmpty();
		assertThat(this.history.toString()).contains("\"leaving\"", "engine-1");
	}

	@Test
	void staleReadsReturnOldContentWithItsTime() throws IOException {
		this.platform.publish("one");
		this.platform.setStale(true);
		long publishedAt = get("/instances").get("publishedAtEpochMillis").asLong();
		this.platform.publish("two");
		this.platform.add(new ListedInstance("instance-1", "zone-1", "127.0.0.1:1", false, 0));
		assertThat(get("/configuration?after=0&waitMillis=0").get("document").asText()).isEqualTo("one");
		assertThat(this.client.status("GET", url("/configuration?after=1&waitMillis=0"), "")).isEqualTo(204);
		assertThat(get("/instances").get("publishedAtEpochMillis").asLong()).isEqualTo(publishedAt);
		assertThat(get("/instances").get("instances")).isEmpty();
		this.platform.setStale(false);
		assertThat(get("/configuration?after=0&waitMillis=0").get("document").asText()).isEqualTo("two");
		assertThat(get("/instances").get("instances")).hasSize(1);
	}

	@Test
	void downAndPartitionedZonesCloseConnections() throws IOException {
		this.platform.setPartitionedZones(Set.of("zone-2"));
		assertThatIOException().isThrownBy(() -> this.client.get(url("/instances"), Map.of("From-Zone", "zone-2")));
		assertThat(this.client.get(url("/instances"), Map.of("From-Zone", "zone-1"))).isNotEmpty();
		this.platform.setDown(true);
		assertThatIOException().isThrownBy(() -> this.client.get(url("/instances"), Map.of()));
		this.platform.setDown(false);
		assertThat(this.client.get(url("/instances"), Map.of())).isNotEmpty();
	}

	private void awaitOneWatch() throws IOException {
		long limitNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
		while (get("/control/reads").get("waitingWatches").asInt() == 0) {
			assertThat(System.nanoTime()).as("no watch was registered within the time limit").isLessThan(limitNanos);
		}
	}

	private JsonNode get(String path) throws IOException {
		return Json.read(this.client.get(url(path), Map.of()), JsonNode.class);
	}

	private String url(String path) {
		return "http://" + this.platform.address() + path;
	}

}
