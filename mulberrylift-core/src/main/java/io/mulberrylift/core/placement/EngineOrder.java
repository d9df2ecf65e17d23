package io.mulberrylift.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.hash.Rendezvous;
import io.mulberrylift.core.model.EndpointId;

/**
 * Fixed order of a service's engines within each availability zone, the same on all
 * instances that know the same engines. An engine that comes or goes moves the others by
 * at most one place.
 *
 * <p>
 * Not thread-safe; owned by the reducer. The order is computed when the engines change.
 * </p>
 */
final class EngineOrder {

	private static final double HALF = 0.5;

	private List<ForwardEndpoint> engines = List.of();

	private Map<EndpointId, Double> positions = Map.of();

	/**
	 * Returns the position of each engine.
	 * @param service name of the service
	 * @param current its engines
	 * @return positions from 0 to 1 by engine
	 */
	Map<EndpointId, Double> positions(String service, List<ForwardEndpoint> current) {
		if (!current.equals(this.engines)) {
			this.engines = List.copyOf(current);
			this.positions = compute(service, current);
		}
		return this.positions;
	}

	private static Map<EndpointId, Double> compute(String service, List<ForwardEndpoint> engines) {
		Map<String, List<EndpointId>> byZone = new TreeMap<>();
		engines.forEach((each) -> byZone.computeIfAbsent(each.zone(), (zone) -> new ArrayList<>()).add(each.id()));
		Map<EndpointId, Double> positions = new HashMap<>();
		for (List<EndpointId> zone : byZone.values()) {
			zone.sort(Comparator.comparingLong((EndpointId each) -> Rendezvous.score(each.value(), service))
				.thenComparing(Comparator.naturalOrder()));
			for (int index = 0; index < zone.size(); index++) {
				positions.put(zone.get(index), (index + HALF) / zone.size());
			}
		}
		return positions;
	}

}
