package io.mulberrylift.daemon.endpoint;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EngineOrder;
import io.mulberrylift.daemon.loop.EventSink;
import io.mulberrylift.daemon.outbound.HttpReply;
import io.mulberrylift.daemon.outbound.OutboundHttpClient;
import io.mulberrylift.daemon.outbound.ReplyCallback;
import org.apache.hc.core5.http.Method;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends orders to engines.
 *
 * <p>
 * Safe for use by several threads. An unanswered order leads to no event; the next order
 * carries the desired state again.
 * </p>
 */
final class OrderClient {

	private static final Logger LOGGER = LoggerFactory.getLogger(OrderClient.class);

	private static final long TIMEOUT_MILLIS = 10_000;

	private static final int MAX_REPLY_BYTES = 64 * 1_024;

	private static final int STATUS_OK = 200;

	private static final int STATUS_CONFLICT = 409;

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private final OutboundHttpClient client;

	private final EventSink events;

	OrderClient(OutboundHttpClient client, EventSink events) {
		this.client = client;
		this.events = events;
	}

	void send(EndpointDescription endpoint, EngineOrder order) {
		String body = MAPPER.createObjectNode()
			.put("kind", order.kind().name())
			.put("subject", order.subject())
			.put("version", order.version())
			.put("fencingNumber", order.fencingNumber())
			.toString();
		BasicHttpRequest request = new BasicHttpRequest(Method.POST, OutboundHttpClient.host(endpoint.address()),
				"/engine/v1/orders");
		this.client.call(request, Optional.of(body), MAX_REPLY_BYTES, TIMEOUT_MILLIS,
				new ReplyCallback<>((reply) -> replyReceived(endpoint, order, reply),
						(ex) -> LOGGER.info("endpoint: {} did not answer the order {} for {}: {}", endpoint.id(),
								order.kind(), order.subject(), ex.getMessage())));
	}

	private void replyReceived(EndpointDescription endpoint, EngineOrder order, HttpReply reply) throws IOException {
		if (reply.status() != STATUS_OK && reply.status() != STATUS_CONFLICT) {
			throw new IOException("engine answered with unexpected HTTP status " + reply.status());
		}
		Answer answer = MAPPER.readValue(reply.body(), Answer.class);
		boolean executed = reply.status() == STATUS_OK && answer.obeyed();
		this.events.submit((at) -> new EndpointEvent.OrderAnswered(at, endpoint.id(), order, executed,
				answer.highestFencingNumber()));
	}

	private record Answer(boolean obeyed, long highestFencingNumber) {
	}

}
