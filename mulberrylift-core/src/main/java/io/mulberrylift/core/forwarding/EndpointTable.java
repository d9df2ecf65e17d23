package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.WorkTable;
import io.mulberrylift.core.zone.ZoneEvacuations;

/**
 * Table of the listed endpoints by identity and service. Endpoints accept new work unless
 * they are listed as leaving or reported it themselves, or their availability zone is
 * evacuated.
 *
 * <p>
 * Not thread-safe; owned by the reducer.
 * </p>
 */
final class EndpointTable {

	/**
	 * Time after which an endpoint that is still listed counts as started again under its
	 * identity.
	 */
	private static final long LEAVING_RETENTION_MILLIS = 120_000;

	private final Map<EndpointId, ForwardEndpoint> byId = new HashMap<>();

	private final Map<String, List<ForwardEndpoint>> byService = new HashMap<>();

	private final Map<Integer, EndpointId> byHash = new HashMap<>();

	/** When endpoints last reported themselves that they are leaving. */
	private final Map<EndpointId, Long> reportedLeavingMillis = new HashMap<>();

	private final EndpointStarts starts = new EndpointStarts();

	private final ZoneEvacuations evacuations;

	private boolean known;

	EndpointTable() {
		this(new ZoneEvacuations());
	}

	EndpointTable(ZoneEvacuations evacuations) {
		this.evacuations = Objects.requireNonNull(evacuations, "evacuations");
	}

	EndpointStarts starts() {
		return this.starts;
	}

	/**
	 * Replaces the table's contents.
	 * @param endpoints all listed endpoints
	 * @return the endpoints that were available before and are leaving or not listed now
	 */
	List<EndpointId> replace(List<ForwardEndpoint> endpoints) {
		Map<EndpointId, ForwardEndpoint> previous = Map.copyOf(this.byId);
		this.byId.clear();
		this.byService.clear();
		this.byHash.clear();
		for (ForwardEndpoint endpoint : endpoints) {
			this.byId.put(endpoint.id(), endpoint);
			this.byHash.put(WorkTable.hash(endpoint.id()), endpoint.id());
			this.byService.computeIfAbsent(endpoint.service(), (service) -> new ArrayList<>()).add(endpoint);
		}
		this.byService.values().forEach((list) -> list.sort(Comparator.comparing(ForwardEndpoint::id)));
		this.reportedLeavingMillis.keySet().retainAll(this.byId.keySet());
		this.known = true;
		return previous.values()
			.stream()
			.filter((endpoint) -> !endpoint.leaving() && isLeaving(endpoint.id()))
			.map(ForwardEndpoint::id)
			.sorted()
			.toList();
	}

	/**
	 * Records that an endpoint reported itself that it is leaving.
	 * @param id the endpoint
	 * @param nowMillis the current time
	 * @return true if it accepted new work before
	 */
	boolean recordLeaving(EndpointId id, long nowMillis) {
		boolean accepted = !isLeaving(id) && !this.reportedLeavingMillis.containsKey(id);
		if (this.byId.containsKey(id)) {
			this.reportedLeavingMillis.put(id, nowMillis);
		}
		return accepted;
	}

	/**
	 * Forgets that an endpoint reported that it is leaving.
	 * @param id the endpoint
	 */
	void forgetLeaving(EndpointId id) {
		this.reportedLeavingMillis.remove(id);
	}

	/**
	 * Removes reports of endpoints that are still listed as available long after them.
	 * @param nowMillis the current time
	 */
	void expire(long nowMillis) {
		this.reportedLeavingMillis.values().removeIf((reported) -> nowMillis - reported > LEAVING_RETENTION_MILLIS);
	}

	private boolean isLeaving(EndpointId id) {
		ForwardEndpoint endpoint = this.byId.get(id);
		return endpoint == null || endpoint.leaving();
	}

	boolean isKnown() {
		return this.known;
	}

	Optional<ForwardEndpoint> find(EndpointId id) {
		return Optional.ofNullable(this.byId.get(id));
	}

	Optional<EndpointId> findByHash(int hash) {
		return Optional.ofNullable(this.byHash.get(hash));
	}

	/**
	 * Returns the endpoint with an identity or an address.
	 * @param name the identity or address
	 * @return the endpoint, empty if none is listed; of several with one address, an
	 * available one
	 */
	Optional<EndpointId> findByName(String name) {
		return this.byId.values()
			.stream()
			.filter((endpoint) -> endpoint.id().value().equals(name) || endpoint.address().equals(name))
			.min(Comparator.comparing((ForwardEndpoint endpoint) -> !endpoint.id().value().equals(name))
				.thenComparing((endpoint) -> !isAvailable(endpoint))
				.thenComparing(ForwardEndpoint::id))
			.map(ForwardEndpoint::id);
	}

	Collection<ForwardEndpoint> listed() {
		return this.byId.values();
	}

	Set<EndpointId> ids() {
		return Set.copyOf(this.byId.keySet());
	}

	long available() {
		return this.byId.values().stream().filter(this::isAvailable).count();
	}

	private boolean isAvailable(ForwardEndpoint endpoint) {
		return !endpoint.leaving() && !this.reportedLeavingMillis.containsKey(endpoint.id()) && !isEvacuated(endpoint);
	}

	boolean isEvacuated(ForwardEndpoint endpoint) {
		return this.evacuations.isEvacuated(endpoint.zone());
	}

	/**
	 * Returns the endpoints of a service that accept new work.
	 * @param service name of the service
	 * @return the endpoints, ordered by identity
	 */
	List<ForwardEndpoint> available(String service) {
		return this.byService.getOrDefault(service, List.of()).stream().filter(this::isAvailable).toList();
	}

}
