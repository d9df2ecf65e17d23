package io.mulberrylift.testkit.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.IntStream;

import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.testkit.engine.EngineSettings;

/**
 * Sizes and network delays of the fleets that policies are compared on.
 */
enum FleetShape {

	/** Three zones, 20 engines, 9 entry instances. */
	PRAIRIE(List.of("regina-hall", "moosejaw-hall", "weyburn-hall"), 20, 9, 1_500),

	/** Three zones, 15 engines, 7 entry instances. */
	TIMBANGAN(List.of("valenzuela", "caloocan", "bulacan"), 15, 7, 1_000);

	/** Name of the served model. */
	static final String MODEL = "model";

	/** Number of workspaces, in descending order of their shares of the requests. */
	static final int WORKSPACES = 10;

	private static final long SAME_ZONE_MICROS = 200;

	private final List<String> zones;

	private final int engines;

	private final int entries;

	private final long crossZoneMicros;

	FleetShape(List<String> zones, int engines, int entries, long crossZoneMicros) {
		this.zones = zones;
		this.engines = engines;
		this.entries = entries;
		this.crossZoneMicros = crossZoneMicros;
	}

	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

	int engines() {
		return this.engines;
	}

	int entries() {
		return this.entries;
	}

	ZoneId zoneOf(int index) {
		return new ZoneId(this.zones.get(index % this.zones.size()));
	}

	List<ZoneId> zones() {
		return this.zones.stream().map(ZoneId::new).toList();
	}

	EndpointId engineId(int index) {
		return new EndpointId(String.format(Locale.ROOT, "runner-%02d", index));
	}

	InstanceId entryId(int index) {
		return new InstanceId("entry-" + index);
	}

	/**
	 * Returns the one-way network delay between an entry instance and an engine.
	 * @param entry index of the instance
	 * @param engine index of the engine
	 * @return the delay in microseconds
	 */
	long delayMicros(int entry, int engine) {
		return zoneOf(entry).equals(zoneOf(engine)) ? SAME_ZONE_MICROS : this.crossZoneMicros;
	}

	FleetList list() {
		List<EndpointDescription> endpoints = new ArrayList<>();
		for (int i = 0; i < this.engines; i++) {
			endpoints.add(new EndpointDescription(engineId(i), WorkKind.MODEL, zoneOf(i), "127.0.0.1:" + (i + 1),
					Set.of(MODEL), EngineSettings.midSize().memoryTokens(), true, false));
		}
		List<InstanceDescription> instances = IntStream.range(0, this.entries)
			.mapToObj((i) -> new InstanceDescription(entryId(i), zoneOf(i), "127.0.0.1:" + (i + 1_000), false, 0))
			.toList();
		return new FleetList(1, 1, instances, endpoints);
	}

}
