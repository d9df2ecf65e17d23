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
 * The engines that may run long prompts: a configured share of all engines, spread over
 * the availability zones and selected by a hash of their identities.
 *
 * <p>
 * Not thread-safe; owned by the scheduler. Instances with the same fleet list select the
 * same engines without communication. The pool contains at least one engine, if any is
 * listed.
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
	 * Returns whether an engine belongs to the pool.
	 * @param endpoint the engine
	 * @return {@code true} if the engine may run long prompts
	 */
	boolean contains(EndpointState endpoint) {
		refresh();
		return this.members.contains(endpoint.id());
	}

	private void refresh() {
		int configuredPercent = this.fleet.configuration().orElseThrow().routing().longEnginePercent();
		if (this.list == this.fleet.list() && this.sharePercent == configuredPercent) {
			return;
		}
		this.list = this.fleet.list();
		this.sharePercent = configuredPercent;
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
		Map<ZoneId, Integer> zoneSizes = new HashMap<>();
		Map<EndpointId, Integer> ranksInZone = new HashMap<>();
		for (EndpointState engine : engines) {
			ranksInZone.put(engine.id(), zoneSizes.merge(engine.description().zone(), 1, Integer::sum));
		}
		return engines.stream().sorted(Comparator.comparing((engine) -> ranksInZone.get(engine.id())));
	}

	private static int hash(EndpointId id) {
		int hash = id.value().hashCode() * 0x9E3779B1;
		return hash ^ (hash >>> 15);
	}

}
