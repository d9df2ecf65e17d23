package io.mulberrylift.daemon.endpoint;

import java.io.IOException;
import java.net.ConnectException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.daemon.loop.EventSink;
import io.mulberrylift.daemon.outbound.HttpReply;
import io.mulberrylift.daemon.outbound.OutboundHttpClient;
import io.mulberrylift.daemon.outbound.ReplyCallback;
import org.apache.hc.core5.http.Method;
import org.apache.hc.core5.http.message.BasicHttpRequest;

/**
 * Reads load reports and prefix cache changes from endpoints.
 *
 * <p>
 * Safe for use by several threads. At most one read per endpoint is outstanding; further
 * reads requested meanwhile are dropped. The position in an endpoint's cache events is
 * kept per incarnation of the endpoint. When the incarnation changes, the cache is
 * reported as unknown and read from the start.
 * </p>
 */
final class LoadReader {

	private static final long TIMEOUT_MILLIS = 1_000;

	private static final int MAX_REPLY_BYTES = 8 * 1_024 * 1_024;

	private static final int STATUS_OK = 200;

	private final OutboundHttpClient client;

	private final EventSink events;

	private final Set<EndpointId> outstanding = ConcurrentHashMap.newKeySet();

	private final ConcurrentMap<EndpointId, CachePosition> positions = new ConcurrentHashMap<>();

	LoadReader(OutboundHttpClient client, EventSink events) {
		this.client = client;
		this.events = events;
	}

	void read(EndpointDescription endpoint) {
		EndpointId id = endpoint.id();
		if (!this.outstanding.add(id)) {
			return;
		}
		BasicHttpRequest request = new BasicHttpRequest(Method.GET, OutboundHttpClient.host(endpoint.address()),
				path(endpoint));
		this.client.call(request, Optional.empty(), MAX_REPLY_BYTES, TIMEOUT_MILLIS,
				new ReplyCallback<>((reply) -> replyReceived(id, reply), (ex) -> {
					this.outstanding.remove(id);
					reportUnreachable(id, ex instanceof ConnectException);
				}));
	}

	/**
	 * Removes the cache positions of endpoints that are no longer listed.
	 * @param directory the published endpoints
	 */
	void removeUnlisted(EndpointDirectory directory) {
		this.positions.keySet().removeIf((id) -> directory.find(id).isEmpty());
	}

	void reportUnreachable(EndpointId endpoint, boolean connectionRefused) {
		this.events.submit((at) -> new EndpointEvent.Unreachable(at, endpoint, connectionRefused));
	}

	private String path(EndpointDescription endpoint) {
		if (endpoint.kind() == WorkKind.SERVICE) {
			return "/service/v1/load";
		}
		CachePosition position = this.positions.get(endpoint.id());
		return "/engine/v1/load?cacheAfter=" + ((position != null) ? position.sequence() : 0);
	}

	private void replyReceived(EndpointId endpoint, HttpReply reply) throws IOException {
		if (reply.status() != STATUS_OK) {
			throw new IOException("endpoint answered with unexpected HTTP status " + reply.status());
		}
		LoadReply load = LoadReply.parse(reply.body());
		LoadReport report = load.toLoadReport(endpoint);
		Optional<CacheChanges> cacheChanges = load.cacheChanges()
			.flatMap((cache) -> updatePosition(endpoint, load.incarnation(), cache));
		this.outstanding.remove(endpoint);
		this.events.submit((at) -> new EndpointEvent.LoadReported(at, report));
		cacheChanges.ifPresent((changes) -> this.events.submit((at) -> new EndpointEvent.CacheChanged(at, endpoint,
				changes.complete(), changes.added(), changes.evicted())));
	}

	private Optional<CacheChanges> updatePosition(EndpointId endpoint, long incarnation, LoadReply.Cache cache) {
		CachePosition position = this.positions.get(endpoint);
		if (position != null && position.incarnation() != incarnation) {
			this.positions.put(endpoint, new CachePosition(incarnation, 0));
			return Optional.of(new CacheChanges(false, List.of(), List.of()));
		}
		CacheChanges cacheChanges = new CacheChanges(cache.complete(), cache.addedBlocks(), cache.evictedBlocks());
		this.positions.put(endpoint, new CachePosition(incarnation, cache.sequence()));
		return (cache.hasChanges()) ? Optional.of(cacheChanges) : Optional.empty();
	}

	/**
	 * Position in an endpoint's cache events.
	 *
	 * @param incarnation the endpoint's incarnation
	 * @param sequence number of the last event read
	 */
	private record CachePosition(long incarnation, long sequence) {
	}

	/**
	 * Changes of a prefix cache.
	 *
	 * @param complete whether the changes have no gap
	 * @param added hashes of blocks added to the cache
	 * @param evicted hashes of evicted blocks
	 */
	private record CacheChanges(boolean complete, List<Long> added, List<Long> evicted) {
	}

}
