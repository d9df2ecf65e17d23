package io.mulberrylift.core.forwarding;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

import io.mulberrylift.core.gossip.EvacuationKnowledge;
import io.mulberrylift.core.zone.ZoneEvacuations;

/**
 * Applies evacuations of availability zones and accounts for the requests that are still
 * in progress there. It does nothing if the terms of the deployment state no bound of
 * evacuations.
 *
 * <p>
 * Not thread-safe; owned by {@link Gateway}. Requests in progress in an evacuated zone
 * end there; only new work leaves it.
 * </p>
 */
final class EvacuationControl {

	/** Source of knowledge that this instance read itself. */
	static final String STORE = "store";

	/** Maximum number of log lines for the requests in a zone when it is evacuated. */
	private static final int MAX_LISTED_REQUESTS = 16;

	private final ZoneEvacuations zones;

	private final Forwarder forwarder;

	/** Evacuated zones that have requests in progress, with the number seen last. */
	private final Map<String, Integer> requestsLeft = new HashMap<>();

	EvacuationControl(ZoneEvacuations zones, Forwarder forwarder) {
		this.zones = zones;
		this.forwarder = forwarder;
	}

	/**
	 * Applies knowledge from the store or a peer. If it changes a zone, peers are told at
	 * once, so that it reaches instances that do not read the store.
	 * @param knowledge the evacuated zones
	 * @param source address of the peer, or {@value #STORE}
	 * @param terms terms of the deployment
	 * @param nowMillis the current time
	 * @param effects receives the effects
	 * @return the zones that changed
	 */
	ZoneEvacuations.Change apply(EvacuationKnowledge knowledge, String source, GatewayTerms terms, long nowMillis,
			List<GatewayEffect> effects) {
		if (terms.evacuationMillis().isEmpty()) {
			return new ZoneEvacuations.Change(List.of(), Map.of());
		}
		ZoneEvacuations.Change change = this.zones.apply(knowledge, source.equals(STORE), nowMillis);
		change.begun().forEach((zone) -> evacuated(zone, knowledge, source, nowMillis, effects));
		change.ended().forEach((zone, sinceMillis) -> {
			this.requestsLeft.remove(zone);
			log(effects, "zone-evacuation-ended", "zone", zone, "revision", knowledge.revision(), "source", source,
					"evacuated-millis", nowMillis - sinceMillis, "requests", count(zone));
		});
		if (!change.isEmpty()) {
			effects.add(new GatewayEffect.PublishState());
		}
		return change;
	}

	private void evacuated(String zone, EvacuationKnowledge knowledge, String source, long nowMillis,
			List<GatewayEffect> effects) {
		List<ForwardState> left = inProgress(zone).sorted(Comparator.comparingLong((state) -> state.arrivalMillis))
			.toList();
		this.requestsLeft.put(zone, left.size());
		log(effects, "zone-evacuated", "zone", zone, "revision", knowledge.revision(), "source", source, "evacuated",
				String.join(" ", this.zones.all().keySet()), "requests", left.size(), "oldest-millis",
				left.isEmpty() ? 0L : nowMillis - left.get(0).arrivalMillis);
		left.stream()
			.limit(MAX_LISTED_REQUESTS)
			.forEach((state) -> log(effects, "request-in-evacuated-zone", "zone", zone, "request", state.requestId,
					"caller-attempt", state.request.attemptId(), "endpoint", state.placement.endpoint().id(),
					"reservations", state.reservations.size(), "sent-millis-ago",
					(state.attemptId != 0) ? nowMillis - state.sentMillis : -1L));
	}

	/**
	 * Logs when the last request of an evacuated zone has ended.
	 * @param nowMillis the current time
	 * @param effects receives the effects
	 */
	void tick(long nowMillis, List<GatewayEffect> effects) {
		for (Map.Entry<String, Integer> entry : this.requestsLeft.entrySet()) {
			int before = entry.getValue();
			if (before > 0) {
				entry.setValue(count(entry.getKey()));
				if (entry.getValue() == 0) {
					log(effects, "zone-empty", "zone", entry.getKey(), "millis",
							nowMillis - this.zones.all().getOrDefault(entry.getKey(), nowMillis));
				}
			}
		}
	}

	/**
	 * Returns the evacuated zones.
	 * @return number of requests still in progress by zone
	 */
	Map<String, Integer> requestsByZone() {
		Map<String, Integer> requests = new TreeMap<>();
		this.zones.all().keySet().forEach((zone) -> requests.put(zone, count(zone)));
		return requests;
	}

	Optional<EvacuationKnowledge> published() {
		return this.zones.published();
	}

	private int count(String zone) {
		return (int) inProgress(zone).count();
	}

	private Stream<ForwardState> inProgress(String zone) {
		return this.forwarder.requests().filter((state) -> isIn(state, zone));
	}

	private static boolean isIn(ForwardState state, String zone) {
		boolean placed = state.placement != null && state.relayPeer.isEmpty()
				&& (state.attemptId != 0 || !state.reservations.isEmpty());
		return placed && (state.placement.endpoint().zone().equals(zone)
				|| state.placement.helpers().stream().anyMatch((helper) -> helper.zone().equals(zone)));
	}

	/**
	 * Returns whether a request waits for reservations of which one is in an evacuated
	 * zone: it has not been sent and must not be.
	 * @param state the request
	 * @param endpoints the listed endpoints
	 * @return true if it must be placed elsewhere
	 */
	static boolean mustLeave(ForwardState state, EndpointTable endpoints) {
		return state.reservations.values().stream().anyMatch(endpoints::isEvacuated);
	}

	private static void log(List<GatewayEffect> effects, String event, Object... fields) {
		effects.add(new GatewayEffect.Log(event, List.of(fields)));
	}

}
