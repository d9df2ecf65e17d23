package io.mulberrylift.testkit.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * An HTTP request and its response.
 *
 * <p>
 * Invariant: at most one response is started; later {@code respond} calls have no effect.
 * Responding and closing are thread-safe; all other methods must be called by the
 * handling thread.
 * </p>
 */
public final class Exchange {

	/** Request header that contains the caller's availability zone. */
	public static final String FROM_ZONE = "From-Zone";

	private final Request request;

	private final Response response;

	private final Callback callback;

	private final AtomicBoolean responseStarted = new AtomicBoolean();

	private Map<String, String> pathParameters = Collections.emptyMap();

	Exchange(Request request, Response response, Callback callback) {
		this.request = request;
		this.response = response;
		this.callback = callback;
	}

	public String method() {
		return this.request.getMethod();
	}

	/**
	 * Returns the request path without decoding.
	 * @return the encoded path, {@code /} if the request has none
	 */
	public String rawPath() {
		return Optional.ofNullable(this.request.getHttpURI().getPath()).orElse("/");
	}

	/**
	 * Returns the request path and query without decoding.
	 * @return the encoded path and query
	 */
	public String rawPathAndQuery() {
		return this.request.getHttpURI().getPathQuery();
	}

	/**
	 * Returns the decoded value of a path template parameter.
	 * @param name the parameter name in the template
	 * @return the decoded value
	 * @throws IllegalArgumentException if the template has no such parameter
	 */
	public String pathParameter(String name) {
		return Optional.ofNullable(this.pathParameters.get(name))
			.orElseThrow(() -> new IllegalArgumentException("The path template has no parameter " + name));
	}

	/**
	 * Returns the value of an integer query parameter.
	 * @param name the parameter name
	 * @param fallback the value to return if the parameter is missing
	 * @return the value
	 * @throws NumberFormatException if the parameter is not an integer
	 */
	public long queryParameter(String name, long fallback) {
		String value = Request.extractQueryParameters(this.request).getValue(name);
		return (value != null) ? Long.parseLong(value) : fallback;
	}

	/**
	 * Returns the first value of a request header.
	 * @param name the header name
	 * @return the value, empty if the header is missing
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.request.getHeaders().get(name));
	}

	/**
	 * Returns all request headers.
	 * @return the header fields in the order received
	 */
	public List<HttpField> headers() {
		return this.request.getHeaders().stream().toList();
	}

	/**
	 * Reads the complete request body as UTF-8 text.
	 * @return the text, empty if there is no body
	 * @throws IOException if the connection fails
	 */
	public String body() throws IOException {
		return Content.Source.asString(this.request, StandardCharsets.UTF_8);
	}

	/**
	 * Reads the complete request body as JSON.
	 * @param <T> the target type
	 * @param type the target type
	 * @return the parsed value
	 * @throws IOException if the connection fails or the body cannot be parsed as the
	 * type
	 */
	public <T> T body(Class<T> type) throws IOException {
		return Json.read(body(), type);
	}

	/**
	 * Sets a response header. Must be called before the response is started.
	 * @param name the header name
	 * @param value the header value
	 */
	public void setHeader(String name, String value) {
		this.response.getHeaders().put(name, value);
	}

	/**
	 * Sends a response without a body.
	 * @param status the HTTP status
	 */
	public void respond(int status) {
		respondText(status, "", "");
	}

	/**
	 * Sends a response with a JSON body.
	 * @param status the HTTP status
	 * @param body the value to serialize
	 */
	public void respond(int status, Object body) {
		respondText(status, "application/json", Json.write(body));
	}

	/**
	 * Sends a response with a text body.
	 * @param status the HTTP status
	 * @param contentType the media type, not sent if the text is empty
	 * @param text the text
	 */
	public void respondText(int status, String contentType, String text) {
		if (!this.responseStarted.compareAndSet(false, true)) {
			return;
		}
		this.response.setStatus(status);
		if (!text.isEmpty()) {
			this.response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
		}
		this.response.write(true, BufferUtil.toBuffer(text, StandardCharsets.UTF_8), this.callback);
	}

	/**
	 * Starts a streamed response with status 200 and sends its header.
	 * @param contentType the media type
	 * @param onClosed called once if the caller disconnects before the end of the stream
	 * @return the stream
	 * @throws IllegalStateException if a response has already been started
	 */
	public LineStream stream(String contentType, Runnable onClosed) {
		if (!this.responseStarted.compareAndSet(false, true)) {
			throw new IllegalStateException("A response has already been started; only one is allowed per request");
		}
		this.response.setStatus(200);
		this.response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
		LineStream stream = new LineStream(this.response, this.callback, endPoint(), onClosed);
		stream.begin();
		return stream;
	}

	/**
	 * Closes the connection, aborting a response that has been started.
	 */
	public void close() {
		endPoint().close();
		if (this.responseStarted.compareAndSet(false, true)) {
			this.callback.failed(new EofException("connection closed by fault injection"));
		}
	}

	void setPathParameters(Map<String, String> parameters) {
		this.pathParameters = parameters;
	}

	void addCompletionListener(Runnable action) {
		Request.addCompletionListener(this.request, (failure) -> action.run());
	}

	private EndPoint endPoint() {
		return this.request.getConnectionMetaData().getConnection().getEndPoint();
	}

}
