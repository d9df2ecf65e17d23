package io.mulberrylift.testkit.service;

import java.io.IOException;
import java.io.StringWriter;
import java.util.HexFormat;
import java.util.Map;

import io.mulberrylift.testkit.engine.AnswerText;
import io.mulberrylift.testkit.history.HistoryWriter;
import io.mulberrylift.testkit.http.TestClient;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

/**
 * Contract tests for {@link PlainServiceServer}.
 */
class PlainServiceServerTests {

	private static final String BODY = "{\"ticket\":7}";

	private static final String BODY_HASH = HexFormat.of().toHexDigits(AnswerText.promptHash(BODY));

	private final StringWriter history = new StringWriter();

	private final TestClient client = new TestClient();

	private PlainServiceServer service;

	@BeforeEach
	void start() {
		this.service = new PlainServiceServer(ServiceOptions.of("service-1"), new HistoryWriter(this.history), () -> {
		});
		this.service.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.client.close();
		this.service.stop();
	}

	@Test
	void everyCallIsExecutedAndCounted() throws IOException {
		assertThat(call("key-1")).isEqualTo(200);
		assertThat(call("key-1")).isEqualTo(200);
		assertThat(call("key-2")).isEqualTo(200);
		assertThat(this.service.executions()).containsExactly(new Execution("key-1", BODY_HASH, 2),
				new Execution("key-2", BODY_HASH, 1));
		assertThat(this.client.get(url("/control/executions"), Map.of())).contains("\"idempotencyKey\":\"key-1\"");
		assertThat(this.history.toString()).contains("\"run\"", "\"run-end\"");
	}

	@Test
	void answerIsTheReceiptOfTheBody() throws IOException {
		assertThat(this.client.post(url("/weigh/in"), BODY))
			.isEqualTo(ServiceReceipt.text(AnswerText.promptHash(BODY)));
	}

	@Test
	void refusedCallIsMarkedNotRunAndNotCounted() throws IOException {
		for (String fault : new String[] { "drain", "refuse" }) {
			control(fault, "{}");
			try (ClassicHttpResponse response = this.client.open("POST", url("/weigh"), BODY, Map.of())) {
				assertThat(response.getCode()).isEqualTo(503);
				assertThat(response.getHeader("Not-Run").getValue()).isEqualTo("true");
			}
			catch (org.apache.hc.core5.http.ProtocolException ex) {
				throw new IOException(ex);
			}
			control(fault, "{\"on\":false}");
		}
		assertThat(this.service.executions()).isEmpty();
		assertThat(call("key-1")).isEqualTo(200);
	}

	@Test
	void crashBeforeExecutionIsNotCountedAndCrashAfterIs() throws IOException {
		control("crash-before", "{}");
		assertThatIOException().isThrownBy(() -> call("key-1"));
		assertThat(this.service.executions()).isEmpty();
		control("crash-before", "{\"on\":false}");
		control("crash-after", "{}");
		assertThatIOException().isThrownBy(() -> call("key-1"));
		assertThat(this.service.executions()).containsExactly(new Execution("key-1", BODY_HASH, 1));
	}

	@Test
	void requestsFromPartitionedZoneAreNotExecuted() throws IOException {
		control("cut", "{\"zones\":[\"zone-2\"]}");
		assertThatIOException()
			.isThrownBy(() -> this.client.open("POST", url("/weigh"), BODY, Map.of("From-Zone", "zone-2")));
		assertThat(this.service.executions()).isEmpty();
	}

	@Test
	void loadReportShowsDraining() throws IOException {
		control("drain", "{}");
		assertThat(this.client.get(url("/service/v1/load"), Map.of())).contains("\"draining\":true");
	}

	private int call(String key) throws IOException {
		try (ClassicHttpResponse response = this.client.open("POST", url("/weigh?scale=1"), BODY,
				Map.of("Idempotency-Key", key))) {
			return response.getCode();
		}
	}

	private void control(String name, String body) throws IOException {
		assertThat(this.client.status("POST", url("/control/" + name), body)).isEqualTo(204);
	}

	private String url(String path) {
		return "http://" + this.service.address() + path;
	}

}
