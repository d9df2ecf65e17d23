package io.mulberrylift.daemon.outbound;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.AsyncResponseConsumer;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Buffers a complete response up to a size limit.
 *
 * <p>
 * Used by one reactor thread; not safe for use by several threads.
 * </p>
 */
public final class ReplyConsumer implements AsyncResponseConsumer<HttpReply> {

	private final int limitBytes;

	private final Consumer<HttpReply> onHead;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private HttpReply head;

	private FutureCallback<HttpReply> callback;

	/**
	 * Creates a consumer.
	 * @param limitBytes largest allowed response body in bytes
	 */
	public ReplyConsumer(int limitBytes) {
		this(limitBytes, (head) -> {
		});
	}

	/**
	 * Creates a consumer that reports when the response head has been received.
	 * @param limitBytes largest allowed response body in bytes
	 * @param onHead called with the response head and an empty body
	 */
	public ReplyConsumer(int limitBytes, Consumer<HttpReply> onHead) {
		this.limitBytes = limitBytes;
		this.onHead = onHead;
	}

	@Override
	public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context,
			FutureCallback<HttpReply> resultCallback) throws IOException {
		if (entity != null && entity.getContentLength() > this.limitBytes) {
			throw new ReplyTooLargeException(this.limitBytes);
		}
		this.head = new HttpReply(response.getCode(), headers(response), new byte[0]);
		this.callback = resultCallback;
		this.onHead.accept(this.head);
		if (entity == null) {
			resultCallback.completed(this.head);
		}
	}

	private static Map<String, List<String>> headers(HttpResponse response) {
		Map<String, List<String>> headers = new LinkedHashMap<>();
		for (Header header : response.getHeaders()) {
			String name = header.getName().toLowerCase(Locale.ROOT);
			headers.computeIfAbsent(name, (key) -> new ArrayList<>()).add(header.getValue());
		}
		return headers;
	}

	@Override
	public void informationResponse(HttpResponse response, HttpContext context) {
		// Interim (1xx) responses are ignored.
	}

	@Override
	public void updateCapacity(CapacityChannel capacityChannel) throws IOException {
		capacityChannel.update(this.limitBytes);
	}

	@Override
	public void consume(ByteBuffer source) throws IOException {
		if (this.body.size() + source.remaining() > this.limitBytes) {
			throw new ReplyTooLargeException(this.limitBytes);
		}
		byte[] chunk = new byte[source.remaining()];
		source.get(chunk);
		this.body.write(chunk);
	}

	@Override
	public void streamEnd(List<? extends Header> trailers) {
		this.callback.completed(new HttpReply(this.head.status(), this.head.headers(), this.body.toByteArray()));
	}

	@Override
	public void failed(Exception cause) {
		// The client reports failures to the callback of the exchange.
	}

	@Override
	public void releaseResources() {
		// The buffer is garbage-collected with the consumer.
	}

}
