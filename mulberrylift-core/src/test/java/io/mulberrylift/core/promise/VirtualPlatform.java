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
 * Simulates the platform's services: one linear history of instance lists, of which each
 * reader may see an outdated version, and the published configurations.
 */
final class VirtualPlatform {

	private final VirtualTime time;

	private final List<FleetList> isListed = new ArrayList<>();

	private final Map<InstanceId, InstanceDescription> instances = new TreeMap<>();

	private final List<EndpointDescription> endpoints;

	private final TreeMap<Long, FleetConfiguration> configurations = new TreeMap<>();

	private final Set<Long> rejected = new HashSet<>();

	private final Map<InstanceId, Long> lagMillis = new HashMap<>();

	private final Map<InstanceId, Long> pinnedListMillis = new HashMap<>();

	private final Set<InstanceId> unreachable = new HashSet<>();

	private boolean down;

	private final Set<InstanceId> staleConfiguration = new HashSet<>();

	VirtualPlatform(VirtualTime time, List<EndpointDescription> endpoints) {
		this.time = time;
		this.endpoints = List.copyOf(endpoints);
	}

	void addInstance(InstanceId id, ZoneId zone) {
		addInstanceSince(id, zone, this.time.nowMillis());
	}

	void addInstanceSince(InstanceId id, ZoneId zone, long sinceMillis) {
		this.instances.put(id, new InstanceDescription(id, zone, id.value() + ":1", false, sinceMillis));
		publishList();
	}

	void markLeaving(InstanceId id) {
		this.instances.computeIfPresent(id, (key, previous) -> new InstanceDescription(id, previous.zone(),
				previous.address(), true, previous.listedSinceEpochMillis()));
		publishList();
	}

	void removeInstance(InstanceId id) {
		this.instances.remove(id);
		publishList();
	}

	boolean isListed(InstanceId id) {
		return this.instances.containsKey(id);
	}

	private void publishList() {
		this.isListed.add(new FleetList(this.isListed.size() + 1L, this.time.nowMillis(),
				List.copyOf(this.instances.values()), this.endpoints));
	}

	void setListLagMillis(InstanceId reader, long millis) {
		this.lagMillis.put(reader, millis);
	}

	/**
	 * Shows a reader the current list until it is unpinned, as a replica that receives no
	 * updates would.
	 */
	void pinList(InstanceId reader) {
		this.pinnedListMillis.put(reader, this.time.nowMillis());
	}

	void unpinList(InstanceId reader) {
		this.pinnedListMillis.remove(reader);
	}

	void down(boolean newDown) {
		this.down = newDown;
	}

	void setReachable(InstanceId reader, boolean newReachable) {
		if (newReachable) {
			this.unreachable.remove(reader);
		}
		else {
			this.unreachable.add(reader);
		}
	}

	boolean isAvailableTo(InstanceId reader) {
		return !this.down && !this.unreachable.contains(reader);
	}

	/**
	 * Returns the list that the reader sees: the one that was current before the reader's
	 * lag, confirmed at that time.
	 */
	FleetList read(InstanceId reader) {
		long lag = this.lagMillis.getOrDefault(reader, 0L);
		long seenMillis = this.pinnedListMillis.getOrDefault(reader, this.time.nowMillis()) - lag;
		FleetList seen = this.isListed.get(0);
		for (FleetList list : this.isListed) {
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
	 * From now on, shows a reader no version other than the first.
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
