package io.mulberrylift.testkit.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;

/**
 * HTTP client for short JSON requests to the processes of a fleet.
 *
 * <p>
 * Safe for use by several threads. Requests are never retried automatically.
 * </p>
 */
public final class JsonClient implements AutoCloseable {

	private static final int FIRST_ERROR_STATUS = 400;

	private final ObjectMapper mapper = new ObjectMapper();

	private final CloseableHttpClient client = HttpClients.custom().disableAutomaticRetries().build();

	/**
	 * Reads a JSON document.
	 * @param address host and port
	 * @param path the path
	 * @return the document
	 * @throws IOException if the request fails or the status is 400 or above
	 */
	public JsonNode get(String address, String path) throws IOException {
		return this.client.execute(new HttpGet("http://" + address + path), this::read);
	}

	/**
	 * Reads a text document.
	 * @param address host and port
	 * @param path the path
	 * @return the text
	 * @throws IOException if the request fails
	 */
	public String getText(String address, String path) throws IOException {
		return this.client.execute(new HttpGet("http://" + address + path),
				(response) -> EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8));
	}

	/**
	 * Requests a document and returns the HTTP status of the response.
	 * @param address host and port
	 * @param path the path
	 * @return the HTTP status
	 * @throws IOException if the request fails
	 */
	public int getStatus(String address, String path) throws IOException {
		return this.client.execute(new HttpGet("http://" + address + path), ClassicHttpResponse::getCode);
	}

	/**
	 * Sends a JSON document.
	 * @param address host and port
	 * @param path the path
	 * @param body the body, written as JSON
	 * @return the response, null if it is empty
	 * @throws IOException if the request fails or the status is 400 or above
	 */
	public JsonNode post(String address, String path, Object body) throws IOException {
		HttpPost post = new HttpPost("http://" + address + path);
		post.setEntity(new StringEntity(this.mapper.writeValueAsString(body), ContentType.APPLICATION_JSON));
		return this.client.execute(post, this::read);
	}

	private JsonNode read(ClassicHttpResponse response) throws IOException {
		byte[] bytes = (response.getEntity() != null) ? EntityUtils.toByteArray(response.getEntity()) : new byte[0];
		if (response.getCode() >= FIRST_ERROR_STATUS) {
			throw new IOException("Status " + response.getCode() + ": " + new String(bytes, StandardCharsets.UTF_8));
		}
		return (bytes.length != 0) ? this.mapper.readTree(bytes) : null;
	}

	@Override
	public void close() {
		try {
			this.client.close();
		}
		catch (IOException ex) {
			throw new IllegalStateException("Cannot close the HTTP client", ex);
		}
	}

}
