package io.mulberrylift.testkit.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Content that the platform publishes, and the snapshot served while it is stale.
 *
 * <p>
 * Invariants: versions only increase. While the state is stale, readers receive the
 * content and confirmation time of the moment at which it became stale. Thread-safe.
 * </p>
 */
final class PlatformState {

	private final Map<String, ListedInstance> instances = new LinkedHashMap<>();

	private final Map<String, ListedEndpoint> endpoints = new LinkedHashMap<>();

	private PublishedConfiguration configuration = new PublishedConfiguration(0, "");

	private long listVersion;

	private Optional<Snapshot> staleSnapshot = Optional.empty();

	synchronized long publish(String document) {
		this.configuration = new PublishedConfiguration(this.configuration.version() + 1, document);
		return this.configuration.version();
	}

	synchronized long change(PlatformMessages.ListChange change, long nowEpochMillis) {
		change.remove().forEach((id) -> {
			this.instances.remove(id);
			this.endpoints.remove(id);
		});
		change.addInstances().forEach((added) -> this.instances.put(added.id(), added.withListedSince(nowEpochMillis)));
		change.addEndpoints().forEach((added) -> this.endpoints.put(added.id(), added));
		change.leaving().forEach((id) -> setLeaving(id, true));
		change.staying().forEach((id) -> setLeaving(id, false));
		this.listVersion++;
		return this.listVersion;
	}

	synchronized void setStale(boolean on, long nowEpochMillis) {
		if (!on) {
			this.staleSnapshot = Optional.empty();
		}
		else if (this.staleSnapshot.isEmpty()) {
			this.staleSnapshot = Optional.of(new Snapshot(this.configuration, liveList(nowEpochMillis)));
		}
	}

	synchronized PublishedConfiguration configuration() {
		return this.staleSnapshot.map(Snapshot::configuration).orElse(this.configuration);
	}

	synchronized PublishedList list(long nowEpochMillis) {
		return this.staleSnapshot.map(Snapshot::list).orElseGet(() -> liveList(nowEpochMillis));
	}

	synchronized List<String> endpointIds() {
		return new ArrayList<>(this.endpoints.keySet());
	}

	private PublishedList liveList(long nowEpochMillis) {
		return new PublishedList(this.listVersion, nowEpochMillis, new ArrayList<>(this.instances.values()),
				new ArrayList<>(this.endpoints.values()));
	}

	private void setLeaving(String id, boolean leaving) {
		this.instances.computeIfPresent(id, (key, instance) -> instance.withLeaving(leaving));
		this.endpoints.computeIfPresent(id, (key, endpoint) -> endpoint.withLeaving(leaving));
	}

	private record Snapshot(PublishedConfiguration configuration, PublishedList list) {
	}

}
