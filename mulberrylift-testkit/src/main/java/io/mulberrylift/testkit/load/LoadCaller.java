package io.mulberrylift.testkit.load;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.testkit.engine.AnswerText;
import io.mulberrylift.testkit.history.AnswerResult;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.util.Timeout;

/**
 * Sends requests to instances and reads the answers to their end.
 *
 * <p>
 * Safe for use by several threads. Requests are never retried automatically.
 * </p>
 */
final class LoadCaller implements AutoCloseable {

	private static final int MAX_CONNECTIONS = 4_000;

	private static final int CONNECT_TIMEOUT_SECONDS = 2;

	private static final long RESPONSE_GRACE_MILLIS = 5_000;

	private static final String EVENT_PREFIX = "data: ";

	private static final String LAST_EVENT = "[DONE]";

	private final ObjectMapper mapper = new ObjectMapper();

	private final CloseableHttpClient client = HttpClients.custom()
		.setConnectionManager(PoolingHttpClientConnectionManagerBuilder.create()
			.setMaxConnTotal(MAX_CONNECTIONS)
			.setMaxConnPerRoute(MAX_CONNECTIONS)
			.setDefaultConnectionConfig(
					ConnectionConfig.custom().setConnectTimeout(Timeout.ofSeconds(CONNECT_TIMEOUT_SECONDS)).build())
			.build())
		.disableAutomaticRetries()
		.build();

	SendResult send(String address, LoadRequest request) {
		try {
			HttpUriRequestBase call = call(address, request);
			return this.client.execute(call, (response) -> read(response, request));
		}
		catch (IOException ex) {
			return SendResult.connectionFailed(ex.getClass().getSimpleName());
		}
	}

	private HttpUriRequestBase call(String address, LoadRequest request) throws IOException {
		boolean model = request.kind() == WorkKind.MODEL;
		String path = model ? "/v1/completions" : "/v1/services/" + request.target() + "/alerts";
		HttpUriRequestBase call = new HttpUriRequestBase("POST", URI.create("http://" + address + path));
		call.setHeader("Mulberrylift-Workspace", request.workspace());
		call.setHeader("Mulberrylift-Profile", request.profile());
		call.setHeader("Mulberrylift-Deadline-Millis", request.timeoutMillis());
		if (!request.key().isEmpty()) {
			call.setHeader("Idempotency-Key", request.key());
		}
		String body = model ? completion(request) : request.body();
		call.setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
		call.setConfig(RequestConfig.custom()
			.setResponseTimeout(Timeout.ofMilliseconds(request.timeoutMillis() + RESPONSE_GRACE_MILLIS))
			.build());
		return call;
	}

	private String completion(LoadRequest request) throws IOException {
		return this.mapper.writeValueAsString(Map.of("model", request.target(), "prompt", request.body(), "max_tokens",
				request.maxOutputTokens(), "stream", true));
	}

	private SendResult read(ClassicHttpResponse response, LoadRequest request) throws IOException, ParseException {
		if (response.getCode() != 200) {
			return refusal(EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8));
		}
		if (request.kind() == WorkKind.SERVICE) {
			String text = EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8);
			return SendResult.complete(AnswerText.promptHash(text), System.nanoTime());
		}
		return readStream(response);
	}

	private SendResult readStream(ClassicHttpResponse response) throws IOException {
		StringBuilder text = new StringBuilder();
		long firstTokenNanos = 0;
		BufferedReader reader = new BufferedReader(
				new InputStreamReader(response.getEntity().getContent(), StandardCharsets.UTF_8));
		for (String line = reader.readLine(); line != null; line = reader.readLine()) {
			if (!line.startsWith(EVENT_PREFIX)) {
				continue;
			}
			String data = line.substring(EVENT_PREFIX.length());
			if (data.equals(LAST_EVENT)) {
				return SendResult.complete(AnswerText.promptHash(text.toString()), firstTokenNanos);
			}
			JsonNode event = this.mapper.readTree(data);
			if (event.has("outcome")) {
				return refusal(data);
			}
			firstTokenNanos = (firstTokenNanos == 0) ? System.nanoTime() : firstTokenNanos;
			text.append(event.path("choices").path(0).path("text").asText());
		}
		return SendResult.refused(AnswerResult.FAILED, "stream-without-end");
	}

	private SendResult refusal(String problem) throws IOException {
		JsonNode document = this.mapper.readTree(problem);
		String outcome = document.path("outcome").asText("unknown").toUpperCase(Locale.ROOT).replace('-', '_');
		return SendResult.refused(AnswerResult.valueOf(outcome), document.path("reason").asText("none"));
	}

	@Override
	public void close() throws IOException {
		this.client.close();
	}

}
