package io.mulberrylift.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.gossip.AvoidedEndpoint;
import io.mulberrylift.core.model.EndpointId;

/**
 * All work in progress that this instance knows: its own exactly, that of its peers as
 * they last reported it.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. Reports of peers expire
 * {@value #PEER_REPORT_TTL_MILLIS} ms after they were heard.
 * </p>
 */
public final class WorkTable {

	/** How long a peer's report counts without a newer one, in milliseconds. */
	public static final long PEER_REPORT_TTL_MILLIS = 3000;

	/** Age up to which a stated load is shown, in milliseconds. */
	private static final long MAX_LOAD_AGE_MILLIS = 5000;

	private final Map<Long, RequestWork> ownWork = new HashMap<>();

	private final Map<String, PeerReport> peers = new HashMap<>();

	/** What peers told in sum, by peer and key of the endpoint. */
	private final Map<String, Map<Integer, ReceivedSummary>> peerSummaries = new HashMap<>();

	/** Requests whose work has changed since the last message to peers. */
	private final Set<Long> changed = new LinkedHashSet<>();

	private final Map<EndpointId, EndpointHealth> health = new HashMap<>();

	/**
	 * Records the work of a request of this instance, replacing what was recorded.
	 * @param requestId the request
	 * @param work its work
	 */
	public void put(long requestId, RequestWork work) {
		this.ownWork.put(requestId, work);
		this.changed.add(requestId);
	}

	/**
	 * Marks that a request's answer has begun.
	 * @param requestId the request
	 */
	public void markDecoding(long requestId) {
		this.ownWork.computeIfPresent(requestId, (id, work) -> work.toDecoding());
		this.changed.add(requestId);
	}

	/**
	 * Forgets the work of a request.
	 * @param requestId the request
	 */
	public void remove(long requestId) {
		if (this.ownWork.remove(requestId) != null) {
			this.changed.add(requestId);
		}
	}

	/**
	 * Returns the work of this instance.
	 * @return work by request
	 */
	public Map<Long, RequestWork> ownWork() {
		return Map.copyOf(this.ownWork);
	}

	/**
	 * Returns the requests whose work has changed since the last call.
	 * @return the requests, those that have ended included
	 */
	public Set<Long> drainChanged() {
		Set<Long> taken = new LinkedHashSet<>(this.changed);
		this.changed.clear();
		return taken;
	}

	/**
	 * Takes a peer's whole work, replacing what it reported before.
	 * @param peer name of the peer
	 * @param work its work by request
	 * @param nowMillis the current time
	 */
	public void replacePeerWork(String peer, Map<Long, RequestWork> work, long nowMillis) {
		this.peers.put(peer, new PeerReport(new HashMap<>(work), nowMillis));
	}

	/**
	 * Takes the changes of a peer's work.
	 * @param peer name of the peer
	 * @param work work that is new or has changed, by request
	 * @param ended requests that have ended
	 * @param nowMillis the current time
	 */
	public void applyPeerChanges(String peer, Map<Long, RequestWork> work, List<Long> ended, long nowMillis) {
		PeerReport known = this.peers.get(peer);
		Map<Long, RequestWork> merged = (known != null) ? known.work() : new HashMap<>();
		merged.putAll(work);
		ended.forEach(merged::remove);
		this.peers.put(peer, new PeerReport(merged, nowMillis));
	}

	/**
	 * Takes a peer's work in sum at some endpoints; what it told of others stays.
	 * @param peer name of the peer
	 * @param summaries the sums, empty ones for endpoints where it has no more work
	 * @param nowMillis the current time
	 */
	public void applyPeerSummaries(String peer, List<EndpointSummary> summaries, long nowMillis) {
		Map<Integer, ReceivedSummary> known = this.peerSummaries.computeIfAbsent(peer, (name) -> new HashMap<>());
		summaries.forEach((each) -> known.put(each.endpointKey(), new ReceivedSummary(each, nowMillis)));
	}

	/**
	 * Drops reports that are too old.
	 * @param nowMillis the current time
	 */
	public void expire(long nowMillis) {
		this.peers.values().removeIf((report) -> nowMillis - report.receivedMillis() > PEER_REPORT_TTL_MILLIS);
		this.peerSummaries.values()
			.forEach((heard) -> heard.values()
				.removeIf((each) -> each.summary().isEmpty()
						|| nowMillis - each.receivedMillis() > PEER_REPORT_TTL_MILLIS));
		this.peerSummaries.values().removeIf(Map::isEmpty);
	}

	/**
	 * Returns this instance's work in sum.
	 * @param nowMillis the current time
	 * @return sums by key of the endpoint, of endpoints with work only
	 */
	public Map<Integer, EndpointSummary> ownSummaries(long nowMillis) {
		Map<Integer, List<WorkItem>> byKey = new LinkedHashMap<>();
		for (RequestWork each : this.ownWork.values()) {
			for (WorkItem item : each.items()) {
				byKey.computeIfAbsent(EndpointSummary.key(item.endpointHash()), (key) -> new ArrayList<>()).add(item);
			}
		}
		Map<Integer, EndpointSummary> summaries = new LinkedHashMap<>();
		byKey.forEach((key, items) -> summaries.put(key, EndpointSummary.of(key, items, nowMillis)));
		return summaries;
	}

	/**
	 * Returns the health of an endpoint.
	 * @param endpoint the endpoint
	 * @return its health, kept from now on
	 */
	public EndpointHealth health(EndpointId endpoint) {
		return this.health.computeIfAbsent(endpoint, (id) -> new EndpointHealth());
	}

	/**
	 * Forgets the health of endpoints that are no longer listed.
	 * @param listed the endpoints that are
	 */
	public void retainHealth(Collection<EndpointId> listed) {
		this.health.keySet().retainAll(listed);
	}

	/**
	 * Returns the endpoints that are avoided for what this instance saw itself.
	 * @param nowMillis the current time
	 * @return the endpoints with the time left
	 */
	public List<AvoidedEndpoint> locallyAvoided(long nowMillis) {
		return this.health.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().remainingAvoidanceMillis(nowMillis) > 0)
			.map((entry) -> new AvoidedEndpoint(hash(entry.getKey()),
					entry.getValue().remainingAvoidanceMillis(nowMillis)))
			.toList();
	}

	/**
	 * Returns the load that endpoints stated lately, for operators.
	 * @param nowMillis the current time
	 * @return load by endpoint
	 */
	public Map<EndpointId, ObservedLoad> recentLoads(long nowMillis) {
		Map<EndpointId, ObservedLoad> loads = new TreeMap<>();
		this.health.forEach((endpoint, each) -> each.load(nowMillis, MAX_LOAD_AGE_MILLIS)
			.ifPresent((load) -> loads.put(endpoint, load)));
		return loads;
	}

	/**
	 * Returns the endpoints with their work.
	 * @param endpoints the endpoints
	 * @return one view per endpoint, in the same order
	 */
	public List<EndpointWork> view(List<ForwardEndpoint> endpoints) {
		Map<Integer, List<WorkItem>> byEndpoint = new HashMap<>();
		endpoints.forEach((endpoint) -> byEndpoint.put(hash(endpoint.id()), new ArrayList<>()));
		collect(this.ownWork, byEndpoint);
		this.peers.values().forEach((report) -> collect(report.work(), byEndpoint));
		collectSummaries(byEndpoint);
		List<EndpointWork> view = new ArrayList<>(endpoints.size());
		for (ForwardEndpoint endpoint : endpoints) {
			view.add(new EndpointWork(endpoint, byEndpoint.get(hash(endpoint.id())), health(endpoint.id())));
		}
		return view;
	}

	/**
	 * Returns the number that names an endpoint in reports of work.
	 * @param endpoint the endpoint
	 * @return its hash, equal on all instances
	 */
	public static int hash(EndpointId endpoint) {
		return endpoint.value().hashCode();
	}

	private static void collect(Map<Long, RequestWork> work, Map<Integer, List<WorkItem>> byEndpoint) {
		for (RequestWork each : work.values()) {
			for (WorkItem item : each.items()) {
				List<WorkItem> list = byEndpoint.get(item.endpointHash());
				if (list != null) {
					list.add(item);
				}
			}
		}
	}

	private void collectSummaries(Map<Integer, List<WorkItem>> byEndpoint) {
		if (this.peerSummaries.isEmpty()) {
			return;
		}
		byEndpoint.forEach((hash, items) -> {
			int key = EndpointSummary.key(hash);
			for (Map<Integer, ReceivedSummary> told : this.peerSummaries.values()) {
				ReceivedSummary heard = told.get(key);
				if (heard != null) {
					items.addAll(heard.summary().items(hash, heard.receivedMillis()));
				}
			}
		});
	}

	private record ReceivedSummary(EndpointSummary summary, long receivedMillis) {
	}

	private record PeerReport(Map<Long, RequestWork> work, long receivedMillis) {
	}

}
