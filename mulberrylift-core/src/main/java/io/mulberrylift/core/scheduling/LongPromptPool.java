package io.mulberrylift.core.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import io.mulberrylift.core.fleet.EndpointState;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.core.model.ZoneId;

/**
 * The engines that long prompts may fill: a fixed share of all engines, spread over the
 * availability zones and chosen by a hash of their identities.
 *
 * <p>
 * Not safe for use by several threads; owned by the scheduler. Instances with the same
 * list choose the same engines without talking to each other. At least one engine takes
 * long prompts.
 * </p>
 */
final class LongPromptPool {

	private final FleetState fleet;

	private final Set<EndpointId> members = new HashSet<>();

	private FleetList list;

	private int sharePercent;

	LongPromptPool(FleetState fleet) {
		this.fleet = fleet;
	}

	/**
	 * Returns whether long prompts may fill an engine.
	 * @param endpoint the engine
	 * @return true if so
	 */
	boolean contains(EndpointState endpoint) {
		refresh();
		return this.members.contains(endpoint.id());
	}

	private void refresh() {
		int wantedPercent = this.fleet.configuration().orElseThrow().routing().longEnginePercent();
		if (this.list == this.fleet.list() && this.sharePercent == wantedPercent) {
			return;
		}
		this.list = this.fleet.list();
		this.sharePercent = wantedPercent;
		this.members.clear();
		List<EndpointState> engines = this.fleet.endpoints()
			.stream()
			.filter((endpoint) -> endpoint.description().kind() == WorkKind.MODEL)
			.sorted(Comparator.comparingInt((EndpointState engine) -> hash(engine.id()))
				.thenComparing(EndpointState::id))
			.toList();
		int count = Math.max(1, Math.round(engines.size() * this.sharePercent / 100f));
		interleaveZones(engines).limit(count).forEach((engine) -> this.members.add(engine.id()));
	}

	private static Stream<EndpointState> interleaveZones(List<EndpointState> engines) {
		Map<ZoneId, Integer> ranks = new HashMap<>();
		Map<EndpointId, Integer> ranksInZone = new HashMap<>();
		for (EndpointState engine : engines) {
			ranksInZone.put(engine.id(), ranks.merge(engine.description().zone(), 1, Integer::sum));
		}
		return engines.stream().sorted(Comparator.comparing((engine) -> ranksInZone.get(engine.id())));
	}

	private static int hash(EndpointId id) {
		int hash = id.value().hashCode() * 0x9E3779B1;
		return hash ^ (hash >>> 15);
	}

}
