package io.mulberrylift.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.gossip.AvoidedEndpoint;
import io.mulberrylift.core.model.EndpointId;

/**
 * Table of all known work in progress: that of this instance, and that of its peers as
 * last reported.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Reports of peers expire
 * {@value #PEER_REPORT_TTL_MILLIS} ms after they were received.
 * </p>
 */
public final class WorkTable {

	/**
	 * Time after which a peer's report expires unless a newer one arrives, in
	 * milliseconds.
	 */
	public static final long PEER_REPORT_TTL_MILLIS = 3000;

	/** Maximum age of a reported load that is shown to operators, in milliseconds. */
	private static final long MAX_LOAD_AGE_MILLIS = 5000;

	private final Map<Long, RequestWork> ownWork = new HashMap<>();

	/** Requests whose work is published individually, not in summaries. */
	private final Set<Long> individual = new HashSet<>();

	private final Map<String, PeerReport> peers = new HashMap<>();

	/** Summaries received from peers, by peer and endpoint key. */
	private final Map<String, Map<Integer, ReceivedSummary>> peerSummaries = new HashMap<>();

	/** Requests whose work has changed since the last message to peers. */
	private final Set<Long> changedRequests = new LinkedHashSet<>();

	private final Map<EndpointId, EndpointHealth> health = new HashMap<>();

	/**
	 * Records or replaces the work of a request of this instance.
	 * @param requestId the request
	 * @param work its work
	 */
	public void put(long requestId, RequestWork work) {
		this.ownWork.put(requestId, work);
		this.changedRequests.add(requestId);
	}

	/**
	 * Publishes the work of a request individually even in fleets where other work is
	 * published in summaries: it is so large that all instances are to know it at once.
	 * @param requestId the request
	 */
	public void publishIndividually(long requestId) {
		this.individual.add(requestId);
	}

	/**
	 * Returns the work of this instance that is published individually.
	 * @return work by request
	 */
	public Map<Long, RequestWork> individualWork() {
		Map<Long, RequestWork> work = new HashMap<>();
		this.individual.forEach((request) -> work.put(request, this.ownWork.get(request)));
		work.values().removeIf(Objects::isNull);
		return work;
	}

	/**
	 * Moves the work of a request of this instance to its decode phase.
	 * @param requestId the request
	 */
	public void markDecoding(long requestId) {
		this.ownWork.computeIfPresent(requestId, (id, work) -> work.toDecoding());
		this.changedRequests.add(requestId);
	}

	/**
	 * Removes the work of a request of this instance.
	 * @param requestId the request
	 */
	public void remove(long requestId) {
		if (this.ownWork.remove(requestId) != null) {
			this.changedRequests.add(requestId);
		}
		this.individual.remove(requestId);
	}

	/**
	 * Returns the work of this instance.
	 * @return work by request
	 */
	public Map<Long, RequestWork> ownWork() {
		return Map.copyOf(this.ownWork);
	}

	/**
	 * Returns and clears the set of requests whose work has changed since the last call.
	 * @return the requests, including those that have ended
	 */
	public Set<Long> drainChanged() {
		Set<Long> drained = new LinkedHashSet<>(this.changedRequests);
		this.changedRequests.clear();
		return drained;
	}

	/**
	 * Replaces all reported work of a peer.
	 * @param peer name of the peer
	 * @param work its work by request
	 * @param nowMillis the current time
	 */
	public void replacePeerWork(String peer, Map<Long, RequestWork> work, long nowMillis) {
		this.peers.put(peer, new PeerReport(new HashMap<>(work), nowMillis));
	}

	/**
	 * Applies changes to the reported work of a peer.
	 * @param peer name of the peer
	 * @param work new and changed work by request
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
	 * Returns the work of a peer whose prefill has begun and that was not reported
	 * before.
	 * @param peer name of the peer
	 * @param reported reported work by request
	 * @return the new work
	 */
	public List<RequestWork> newPrefills(String peer, Map<Long, RequestWork> reported) {
		PeerReport known = this.peers.get(peer);
		return reported.entrySet()
			.stream()
			.filter((each) -> !each.getValue().decoding() && each.getValue().partPrefillMillis() > 0
					&& (known == null || !known.work().containsKey(each.getKey())))
			.map(Map.Entry::getValue)
			.toList();
	}

	/**
	 * Applies summaries of a peer's work at some endpoints. Its summaries for other
	 * endpoints are kept.
	 * @param peer name of the peer
	 * @param summaries the summaries; an empty one for an endpoint without any more work
	 * of the peer
	 * @param nowMillis the current time
	 */
	public void applyPeerSummaries(String peer, List<EndpointSummary> summaries, long nowMillis) {
		Map<Integer, ReceivedSummary> known = this.peerSummaries.computeIfAbsent(peer, (name) -> new HashMap<>());
		summaries.forEach((each) -> known.put(each.endpointKey(), new ReceivedSummary(each, nowMillis)));
	}

	/**
	 * Removes expired reports of peers and empty summaries.
	 * @param nowMillis the current time
	 */
	public void expire(long nowMillis) {
		this.peers.values().removeIf((report) -> nowMillis - report.receivedMillis() > PEER_REPORT_TTL_MILLIS);
		this.peerSummaries.values()
			.forEach((received) -> received.values()
				.removeIf((each) -> each.summary().isEmpty()
						|| nowMillis - each.receivedMillis() > PEER_REPORT_TTL_MILLIS));
		this.peerSummaries.values().removeIf(Map::isEmpty);
	}

	/**
	 * Returns summaries of this instance's work, except for what is published
	 * individually.
	 * @param nowMillis the current time
	 * @return summaries by endpoint key, only of endpoints with work
	 */
	public Map<Integer, EndpointSummary> ownSummaries(long nowMillis) {
		Map<Integer, List<WorkItem>> byKey = new LinkedHashMap<>();
		for (Map.Entry<Long, RequestWork> each : this.ownWork.entrySet()) {
			if (this.individual.contains(each.getKey())) {
				continue;
			}
			for (WorkItem item : each.getValue().items()) {
				byKey.computeIfAbsent(EndpointSummary.key(item.endpointHash()), (key) -> new ArrayList<>()).add(item);
			}
		}
		Map<Integer, EndpointSummary> summaries = new LinkedHashMap<>();
		byKey.forEach((key, items) -> summaries.put(key, EndpointSummary.of(key, items, nowMillis)));
		return summaries;
	}

	/**
	 * Returns the health of an endpoint, creating an entry if there is none.
	 * @param endpoint the endpoint
	 * @return its health; later changes to it are kept
	 */
	public EndpointHealth health(EndpointId endpoint) {
		return this.health.computeIfAbsent(endpoint, (id) -> new EndpointHealth());
	}

	/**
	 * Removes the health of endpoints that are no longer listed.
	 * @param listed the listed endpoints
	 */
	public void retainHealth(Collection<EndpointId> listed) {
		this.health.keySet().retainAll(listed);
	}

	/**
	 * Forgets the health of an endpoint whose process has started again, and all work
	 * that the process before had.
	 * @param endpoint the endpoint
	 */
	public void forget(EndpointId endpoint) {
		this.health.remove(endpoint);
		int hash = hash(endpoint);
		for (long request : List.copyOf(this.ownWork.keySet())) {
			if (forget(this.ownWork, request, hash)) {
				this.changedRequests.add(request);
			}
		}
		this.peers.values()
			.forEach((report) -> List.copyOf(report.work().keySet())
				.forEach((request) -> forget(report.work(), request, hash)));
		this.peerSummaries.values().forEach((summaries) -> summaries.remove(EndpointSummary.key(hash)));
	}

	private static boolean forget(Map<Long, RequestWork> works, long request, int hash) {
		RequestWork known = works.get(request);
		RequestWork rest = known.without(hash).orElse(null);
		if (rest == null) {
			works.remove(request);
		}
		else {
			works.put(request, rest);
		}
		return rest != known;
	}

	/**
	 * Returns the endpoints that are avoided because of faults that this instance
	 * observed.
	 * @param nowMillis the current time
	 * @return the endpoints with the remaining times
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
	 * Returns the loads that endpoints reported recently, for operators.
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
	 * Returns snapshots of endpoints with their work.
	 * @param endpoints the endpoints
	 * @return one snapshot for each endpoint, in the same order
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
	 * Returns the hash that identifies an endpoint in reports of work.
	 * @param endpoint the endpoint
	 * @return the hash, equal on all instances
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
		Map<Integer, List<Integer>> hashesByKey = new HashMap<>();
		byEndpoint.keySet()
			.forEach((hash) -> hashesByKey.computeIfAbsent(EndpointSummary.key(hash), (key) -> new ArrayList<>(1))
				.add(hash));
		// Peers have work at few of the endpoints of a large fleet.
		for (Map<Integer, ReceivedSummary> summaries : this.peerSummaries.values()) {
			summaries.forEach((key, received) -> {
				for (int hash : hashesByKey.getOrDefault(key, List.of())) {
					byEndpoint.get(hash).addAll(received.summary().items(hash, received.receivedMillis()));
				}
			});
		}
	}

	private record ReceivedSummary(EndpointSummary summary, long receivedMillis) {
	}

	private record PeerReport(Map<Long, RequestWork> work, long receivedMillis) {
	}

}
