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
 * One HTTP request and its answer.
 *
 * <p>
 * Invariant: at most one answer is begun; later calls to answer do nothing. Answering and
 * closing are safe for use by several threads, the rest belongs to the handling thread.
 * </p>
 */
public final class Exchange {

	/** Header by which callers name their availability zone. */
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

	/**
	 * Returns the HTTP method.
	 * @return the method
	 */
	public String method() {
		return this.request.getMethod();
	}

	/**
	 * Returns the path as it was sent, still encoded.
	 * @return the path
	 */
	public String rawPath() {
		return Optional.ofNullable(this.request.getHttpURI().getPath()).orElse("/");
	}

	/**
	 * Returns the path and query as they were sent.
	 * @return the path and query
	 */
	public String rawPathAndQuery() {
		return this.request.getHttpURI().getPathQuery();
	}

	/**
	 * Returns a decoded parameter of the route's path template.
	 * @param name the name in the template
	 * @return the value
	 * @throws IllegalArgumentException if the template has no such parameter
	 */
	public String pathParameter(String name) {
		return Optional.ofNullable(this.pathParameters.get(name))
			.orElseThrow(() -> new IllegalArgumentException("The path has no parameter " + name));
	}

	/**
	 * Returns a query parameter that is a whole number.
	 * @param name the name
	 * @param fallback value when the parameter is missing
	 * @return the number
	 * @throws NumberFormatException if it is no number
	 */
	public long queryParameter(String name, long fallback) {
		String value = Request.extractQueryParameters(this.request).getValue(name);
		return (value != null) ? Long.parseLong(value) : fallback;
	}

	/**
	 * Returns a header.
	 * @param name the name
	 * @return the first value, empty when it is missing
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.request.getHeaders().get(name));
	}

	/**
	 * Returns all headers.
	 * @return the fields in the order sent
	 */
	public List<HttpField> headers() {
		return this.request.getHeaders().stream().toList();
	}

	/**
	 * Reads the whole body.
	 * @return the text, empty for no body
	 * @throws IOException if the connection fails
	 */
	public String body() throws IOException {
		return Content.Source.asString(this.request, StandardCharsets.UTF_8);
	}

	/**
	 * Reads the whole body as JSON.
	 * @param <T> the type
	 * @param type the type
	 * @return the value
	 * @throws IOException if the connection fails or the body does not fit the type
	 */
	public <T> T body(Class<T> type) throws IOException {
		return Json.read(body(), type);
	}

	/**
	 * Sets a header of the answer. Call it before the answer is begun.
	 * @param name the name
	 * @param value the value
	 */
	public void setHeader(String name, String value) {
		this.response.getHeaders().put(name, value);
	}

	/**
	 * Answers without a body.
	 * @param status the HTTP status
	 */
	public void respond(int status) {
		respondText(status, "", "");
	}

	/**
	 * Answers with a JSON body.
	 * @param status the HTTP status
	 * @param body the value
	 */
	public void respond(int status, Object body) {
		respondText(status, "application/json", Json.write(body));
	}

	/**
	 * Answers with a text.
	 * @param status the HTTP status
	 * @param contentType its media type, not sent for an empty text
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
	 * Begins an answer of lines with status 200 and sends its head.
	 * @param contentType its media type
	 * @param onClosed called once when the caller's connection closes before the end
	 * @return the stream
	 * @throws IllegalStateException if an answer was begun
	 */
	public LineStream stream(String contentType, Runnable onClosed) {
		if (!this.responseStarted.compareAndSet(false, true)) {
			throw new IllegalStateException("The answer was begun; begin one answer per request");
		}
		this.response.setStatus(200);
		this.response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
		LineStream stream = new LineStream(this.response, this.callback, endPoint(), onClosed);
		stream.begin();
		return stream;
	}

	/**
	 * Closes the connection without an answer, or in the middle of one.
	 */
	public void close() {
		endPoint().close();
		if (this.responseStarted.compareAndSet(false, true)) {
			this.callback.failed(new EofException("closed by a fault switch"));
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
