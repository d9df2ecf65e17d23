package io.mulberrylift.testkit.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.f4b6a3.uuid.UuidCreator;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;

/**
 * HTTP client that sends requests to the demonstration fleet.
 *
 * <p>
 * Used by one thread.
 * </p>
 */
final class DemoCaller implements AutoCloseable {

	private static final String EVENT_PREFIX = "data: ";

	private static final String LAST_EVENT = "[DONE]";

	private final CloseableHttpClient client = HttpClients.custom().disableAutomaticRetries().build();

	private final ObjectMapper mapper = new ObjectMapper();

	/**
	 * Creates an idempotency key that contains the current time.
	 * @return a UUID of version 7
	 */
	static String newKey() {
		return UuidCreator.getTimeOrderedEpoch().toString();
	}

	DemoAnswer stream(String address, String body) throws IOException {
		HttpUriRequestBase request = request("POST", address, "/v1/completions", "ice-briefing", body);
		long startNanos = System.nanoTime();
		return this.client.execute(request, (response) -> readStream(response, startNanos));
	}

	private DemoAnswer readStream(ClassicHttpResponse response, long startNanos) throws IOException {
		StringBuilder text = new StringBuilder();
		long firstTokenMillis = -1;
		boolean ended = false;
		BufferedReader reader = new BufferedReader(
				new InputStreamReader(response.getEntity().getContent(), StandardCharsets.UTF_8));
		for (String line = reader.readLine(); line != null; line = reader.readLine()) {
			if (line.equals(EVENT_PREFIX + LAST_EVENT)) {
				ended = true;
			}
			else if (line.startsWith(EVENT_PREFIX)) {
				firstTokenMillis = (firstTokenMillis < 0) ? elapsedMillis(startNanos) : firstTokenMillis;
				JsonNode event = this.mapper.readTree(line.substring(EVENT_PREFIX.length()));
				text.append(event.path("choices").path(0).path("text").asText());
			}
			else if (response.getCode() != 200) {
				text.append(line);
			}
		}
		return new DemoAnswer(response.getCode(), firstTokenMillis, elapsedMillis(startNanos), ended, text.toString());
	}

	DemoAnswer nonStreamed(String address, String path, String body) throws IOException {
		return execute(request("POST", address, path, "ice-briefing", body));
	}

	DemoAnswer service(String address, String method, String path, String profile, Map<String, String> headers,
			String body) throws IOException {
		HttpUriRequestBase request = request(method, address, "/v1/services/council-notification/" + path, profile,
				body);
		headers.forEach(request::setHeader);
		return execute(request);
	}

	private DemoAnswer execute(HttpUriRequestBase request) throws IOException {
		long startNanos = System.nanoTime();
		return this.client.execute(request, (response) -> {
			String text = EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8);
			return new DemoAnswer(response.getCode(), -1, elapsedMillis(startNanos), true, text);
		});
	}

	private static HttpUriRequestBase request(String method, String address, String path, String profile, String body) {
		HttpUriRequestBase request = new HttpUriRequestBase(method, java.net.URI.create("http://" + address + path));
		request.setHeader("Mulberrylift-Workspace", "highways");
		request.setHeader("Mulberrylift-Profile", profile);
		if (!body.isEmpty()) {
			request.setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
		}
		return request;
	}

	private static long elapsedMillis(long startNanos) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
	}

	@Override
	public void close() throws IOException {
		this.client.close();
	}

}
