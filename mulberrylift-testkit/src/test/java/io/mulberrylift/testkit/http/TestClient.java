package io.mulberrylift.testkit.http;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.DefaultHttpRequestRetryStrategy;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/**
 * HTTP client for tests that does not retry requests. Thread-safe.
 */
public final class TestClient implements Closeable {

	private static final Timeout READ_TIMEOUT = Timeout.ofSeconds(60);

	private final CloseableHttpClient client = HttpClients.custom()
		.setDefaultRequestConfig(RequestConfig.custom().setResponseTimeout(READ_TIMEOUT).build())
		.setRetryStrategy(new DefaultHttpRequestRetryStrategy(0, TimeValue.ZERO_MILLISECONDS))
		.build();

	/**
	 * Sends a request and returns the response without waiting for its body.
	 * @param method the HTTP method
	 * @param url the URL
	 * @param body the JSON body, empty for none
	 * @param headers additional headers
	 * @return the response, which the caller must close
	 * @throws IOException if the connection fails
	 */
	public ClassicHttpResponse open(String method, String url, String body, Map<String, String> headers)
			throws IOException {
		HttpUriRequestBase request = new HttpUriRequestBase(method, URI.create(url));
		headers.forEach(request::setHeader);
		if (!body.isEmpty()) {
			request.setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
		}
		return this.client.executeOpen(null, request, null);
	}

	/**
	 * Sends a request and reads the complete response.
	 * @param method the HTTP method
	 * @param url the URL
	 * @param body the JSON body, empty for none
	 * @return the HTTP status
	 * @throws IOException if the connection fails
	 */
	public int status(String method, String url, String body) throws IOException {
		try (ClassicHttpResponse response = open(method, url, body, Map.of())) {
			EntityUtils.consume(response.getEntity());
			return response.getCode();
		}
	}

	/**
	 * Sends a {@code GET} request.
	 * @param url the URL
	 * @param headers additional headers
	 * @return the response body
	 * @throws IOException if the connection fails
	 */
	public String get(String url, Map<String, String> headers) throws IOException {
		return text(open("GET", url, "", headers));
	}

	/**
	 * Sends a {@code POST} request with a JSON body.
	 * @param url the URL
	 * @param body the JSON body
	 * @return the response body
	 * @throws IOException if the connection fails
	 */
	public String post(String url, String body) throws IOException {
		return text(open("POST", url, body, Map.of()));
	}

	/**
	 * Sends a {@code POST} request with a JSON body and closes the connection after the
	 * first byte of the response.
	 * @param url the URL
	 * @param body the JSON body
	 * @throws IOException if the connection fails
	 */
	public void sendAndDisconnect(String url, String body) throws IOException {
		URI uri = URI.create(url);
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		String head = "POST " + uri.getPath() + " HTTP/1.1\r\nHost: " + uri.getAuthority() + "\r\nContent-Length: "
				+ bytes.length + "\r\n\r\n";
		try (Socket socket = new Socket(uri.getHost(), uri.getPort())) {
			socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
			socket.getOutputStream().write(bytes);
			if (socket.getInputStream().read() < 0) {
				throw new IOException("connection closed before the first byte of the response");
			}
		}
	}

	@Override
	public void close() throws IOException {
		this.client.close();
	}

	private static String text(ClassicHttpResponse opened) throws IOException {
		try (ClassicHttpResponse response = opened) {
			return EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8);
		}
		catch (org.apache.hc.core5.http.ParseException ex) {
			throw new IOException(ex);
		}
	}

}
