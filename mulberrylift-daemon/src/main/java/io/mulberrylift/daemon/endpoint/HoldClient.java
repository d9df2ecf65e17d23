package io.mulberrylift.daemon.endpoint;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.HoldDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.daemon.loop.EventSink;
import io.mulberrylift.daemon.outbound.HttpReply;
import io.mulberrylift.daemon.outbound.OutboundHttpClient;
import io.mulberrylift.daemon.outbound.ReplyCallback;
import org.apache.hc.core5.http.Method;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Acquires, releases and lists holds, which are leases on engine memory.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
final class HoldClient {

	private static final Logger LOGGER = LoggerFactory.getLogger(HoldClient.class);

	private static final String PATH = "/engine/v1/holds";

	private static final long TIMEOUT_MILLIS = 2_000;

	private static final int MAX_REPLY_BYTES = 8 * 1_024 * 1_024;

	private static final int STATUS_OK = 200;

	private static final int STATUS_CREATED = 201;

	private static final int STATUS_NO_CONTENT = 204;

	private static final int STATUS_CONFLICT = 409;

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private final OutboundHttpClient client;

	private final EventSink events;

	HoldClient(OutboundHttpClient client, EventSink events) {
		this.client = client;
		this.events = events;
	}

	void acquire(EndpointDescription endpoint, HoldDescription hold) {
		String body = MAPPER.createObjectNode()
			.put("tokens", hold.tokens())
			.put("expiresInMillis", hold.expiresInMillis())
			.toString();
		call(endpoint, Method.PUT, path(hold), Optional.of(body), new ReplyCallback<>((reply) -> {
			if (reply.status() != STATUS_CREATED && reply.status() != STATUS_CONFLICT) {
				throw unexpectedStatus(reply);
			}
			boolean granted = reply.status() == STATUS_CREATED;
			this.events.submit((at) -> new EndpointEvent.HoldAnswered(at, endpoint.id(), hold.holdId(), granted));
		}, (ex) -> reportUnanswered(endpoint.id(), hold)));
	}

	void release(EndpointDescription endpoint, HoldDescription hold) {
		call(endpoint, Method.DELETE, path(hold), Optional.empty(), new ReplyCallback<>((reply) -> {
			if (reply.status() != STATUS_NO_CONTENT) {
				throw unexpectedStatus(reply);
			}
			this.events.submit((at) -> new EndpointEvent.HoldReleased(at, endpoint.id(), hold));
		}, (ex) -> reportUnanswered(endpoint.id(), hold)));
	}

	void list(EndpointDescription endpoint) {
		call(endpoint, Method.GET, PATH, Optional.empty(), new ReplyCallback<>((reply) -> {
			if (reply.status() != STATUS_OK) {
				throw unexpectedStatus(reply);
			}
			List<HoldDescription> holds = parse(reply.body());
			this.events.submit((at) -> new EndpointEvent.HoldsListed(at, endpoint.id(), holds));
		}, (ex) -> LOGGER.info("endpoint: listing the holds of {} failed: {}", endpoint.id(), ex.getMessage())));
	}

	void reportUnanswered(EndpointId endpoint, HoldDescription hold) {
		this.events.submit((at) -> new EndpointEvent.HoldUnanswered(at, endpoint, hold.holdId()));
	}

	private void call(EndpointDescription endpoint, Method method, String path, Optional<String> body,
			ReplyCallback<HttpReply> callback) {
		BasicHttpRequest request = new BasicHttpRequest(method, OutboundHttpClient.host(endpoint.address()), path);
		this.client.call(request, body, MAX_REPLY_BYTES, TIMEOUT_MILLIS, callback);
	}

	private static String path(HoldDescription hold) {
		return PATH + "/" + AttemptNames.encodePathSegment(hold.owner().value()) + "/" + hold.ownerIncarnation() + "/"
				+ hold.holdId();
	}

	private static IOException unexpectedStatus(HttpReply reply) {
		return new IOException("engine answered with unexpected HTTP status " + reply.status());
	}

	private static List<HoldDescription> parse(byte[] body) throws IOException {
		HoldList list = MAPPER.readValue(body, HoldList.class);
		if (list.holds() == null) {
			throw new IOException("response has no list of holds");
		}
		return list.holds().stream().map(Hold::toDescription).toList();
	}

	private record HoldList(List<Hold> holds) {
	}

	private record Hold(long holdId, String owner, long ownerIncarnation, long tokens, long expiresInMillis) {

		HoldDescription toDescription() {
			return new HoldDescription(this.holdId, new InstanceId(this.owner), this.ownerIncarnation, this.tokens,
					this.expiresInMillis);
		}

	}

}
