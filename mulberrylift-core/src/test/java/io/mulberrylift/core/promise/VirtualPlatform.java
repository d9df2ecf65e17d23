package io.mulberrylift.core.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.ConfigurationProblem;
import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;

/**
 * The platform's services: one linear history of lists, of which each reader may see an
 * old state, and the published configurations.
 */
final class VirtualPlatform {

	private final VirtualTime time;

	private final List<FleetList> lists = new ArrayList<>();

	private final Map<InstanceId, InstanceDescription> instances = new TreeMap<>();

	private final List<EndpointDescription> endpoints;

	private final TreeMap<Long, FleetConfiguration> configurations = new TreeMap<>();

	private final Set<Long> rejected = new HashSet<>();

	private final Map<InstanceId, Long> lagMillis = new HashMap<>();

	private final Map<InstanceId, Long> heldListMillis = new HashMap<>();

	private final Set<InstanceId> unreachable = new HashSet<>();

	private boolean down;

	private final Set<InstanceId> staleConfiguration = new HashSet<>();

	VirtualPlatform(VirtualTime time, List<EndpointDescription> endpoints) {
		this.time = time;
		this.endpoints = List.copyOf(endpoints);
	}

	void list(InstanceId id, ZoneId zone) {
		listSince(id, zone, this.time.nowMillis());
	}

	void listSince(InstanceId id, ZoneId zone, long sinceMillis) {
		this.instances.put(id, new InstanceDescription(id, zone, id.value() + ":1", false, sinceMillis));
		publishList();
	}

	void leaving(InstanceId id) {
		this.instances.computeIfPresent(id, (key, known) -> new InstanceDescription(id, known.zone(), known.address(),
				true, known.listedSinceEpochMillis()));
		publishList();
	}

	void drop(InstanceId id) {
		this.instances.remove(id);
		publishList();
	}

	boolean lists(InstanceId id) {
		return this.instances.containsKey(id);
	}

	private void publishList() {
		this.lists.add(new FleetList(this.lists.size() + 1L, this.time.nowMillis(),
				List.copyOf(this.instances.values()), this.endpoints));
	}

	void lag(InstanceId reader, long millis) {
		this.lagMillis.put(reader, millis);
	}

	/**
	 * Shows a reader the list of now for good, as a replica that gets no news.
	 */
	void holdList(InstanceId reader) {
		this.heldListMillis.put(reader, this.time.nowMillis());
	}

	void releaseList(InstanceId reader) {
		this.heldListMillis.remove(reader);
	}

	void down(boolean newDown) {
		this.down = newDown;
	}

	void reachable(InstanceId reader, boolean newReachable) {
		if (newReachable) {
			this.unreachable.remove(reader);
		}
		else {
			this.unreachable.add(reader);
		}
	}

	boolean answers(InstanceId reader) {
		return !this.down && !this.unreachable.contains(reader);
	}

	/**
	 * Returns the list as it was a lag ago, confirmed at that time.
	 */
	FleetList read(InstanceId reader) {
		long lag = this.lagMillis.getOrDefault(reader, 0L);
		long seenMillis = this.heldListMillis.getOrDefault(reader, this.time.nowMillis()) - lag;
		FleetList seen = this.lists.get(0);
		for (FleetList list : this.lists) {
			seen = (list.publishedAtEpochMillis() <= seenMillis) ? list : seen;
		}
		long confirmedMillis = Math.max(seen.publishedAtEpochMillis(), seenMillis);
		return new FleetList(seen.version(), confirmedMillis, seen.instances(), seen.endpoints());
	}

	void publish(long version, FleetConfiguration configuration) {
		this.configurations.put(version, configuration);
	}

	void publishRejected(long version, FleetConfiguration configuration) {
		this.rejected.add(version);
		publish(version, configuration);
	}

	/**
	 * Shows a reader no version above the first from now on.
	 */
	void staleConfiguration(InstanceId reader) {
		this.staleConfiguration.add(reader);
	}

	Optional<ConfigurationCheck> configurationAfter(InstanceId reader, long version) {
		long newest = this.staleConfiguration.contains(reader) ? this.configurations.firstKey()
				: this.configurations.lastKey();
		return (newest > version) ? Optional.of(check(new PublishedDocument(newest, "v" + newest))) : Optional.empty();
	}

	ConfigurationCheck check(PublishedDocument document) {
		if (this.rejected.contains(document.version())) {
			return new ConfigurationCheck.Rejected(document,
					List.of(new ConfigurationProblem("key", "value", "another", "Correct it.")));
		}
		return new ConfigurationCheck.Accepted(document, this.configurations.get(document.version()));
	}

}
