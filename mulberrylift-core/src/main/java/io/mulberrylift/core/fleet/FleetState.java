package io.mulberrylift.core.fleet;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.FleetList;

/**
 * The configuration in force, the most recent instance list and the state of each
 * endpoint.
 *
 * <p>
 * Not thread-safe; owned by the reducer. The versions of the configuration and of the
 * list never decrease. Endpoints are iterated in the order of their identifiers.
 * </p>
 */
public final class FleetState {

	private final InstanceIdentity self;

	private final SortedMap<EndpointId, EndpointState> endpoints = new TreeMap<>();

	private FleetConfiguration configuration;

	private long configurationVersion;

	private FleetList list = FleetList.EMPTY;

	/**
	 * Creates the state before anything has been read.
	 * @param self the identity of this process, not null
	 */
	public FleetState(InstanceIdentity self) {
		this.self = Objects.requireNonNull(self, "self");
	}

	public InstanceIdentity self() {
		return this.self;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, empty before the first one was accepted
	 */
	public Optional<FleetConfiguration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	/**
	 * Returns the version of the configuration in force.
	 * @return the version, 0 before the first one was accepted
	 */
	public long configurationVersion() {
		return this.configurationVersion;
	}

	/**
	 * Applies a configuration, unless the same or a newer version is already in force.
	 * @param version version of the configuration
	 * @param newConfiguration the accepted configuration, not null
	 * @return whether the configuration was applied
	 */
	public boolean configure(long version, FleetConfiguration newConfiguration) {
		if (version <= this.configurationVersion) {
			return false;
		}
		this.configurationVersion = version;
		this.configuration = Objects.requireNonNull(newConfiguration, "newConfiguration");
		return true;
	}

	/**
	 * Returns the most recent instance list.
	 * @return the list, {@link FleetList#EMPTY} before the first read
	 */
	public FleetList list() {
		return this.list;
	}

	/**
	 * Updates the state with a list that has been read, unless the same or a newer list
	 * is already known.
	 * @param newList the list
	 * @return the endpoints that are no longer listed, empty when the list was ignored
	 */
	public Set<EndpointId> update(FleetList newList) {
		if (!isNewer(newList)) {
			return Set.of();
		}
		this.list = newList;
		Set<EndpointId> removed = new HashSet<>(this.endpoints.keySet());
		for (EndpointDescription description : newList.endpoints()) {
			removed.remove(description.id());
			updateEndpoint(description);
		}
		this.endpoints.keySet().removeAll(removed);
		return removed;
	}

	private boolean isNewer(FleetList newList) {
		return newList.version() > this.list.version() || (newList.version() == this.list.version()
				&& newList.publishedAtEpochMillis() > this.list.publishedAtEpochMillis());
	}

	private void updateEndpoint(EndpointDescription description) {
		EndpointState known = this.endpoints.get(description.id());
		if (known == null) {
			this.endpoints.put(description.id(), new EndpointState(description));
		}
		else {
			known.updateDescription(description);
		}
	}

	/**
	 * Returns the listed endpoints as an unmodifiable view.
	 * @return the states in the order of the endpoints' identifiers
	 */
	public Collection<EndpointState> endpoints() {
		return Collections.unmodifiableCollection(this.endpoints.values());
	}

	/**
	 * Returns the state of an endpoint.
	 * @param id the endpoint
	 * @return its state, empty when the endpoint is not listed
	 */
	public Optional<EndpointState> endpoint(EndpointId id) {
		return Optional.ofNullable(this.endpoints.get(id));
	}

}
