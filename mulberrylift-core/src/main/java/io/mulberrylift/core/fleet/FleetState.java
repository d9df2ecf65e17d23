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
 * The configuration in force, the last instance list and the state of each endpoint.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. The list's version never
 * decreases. Endpoints are iterated in the order of their identities.
 * </p>
 */
public final class FleetState {

	private final InstanceIdentity self;

	private final SortedMap<EndpointId, EndpointState> endpoints = new TreeMap<>();

	private FleetConfiguration configuration;

	private long configurationVersion;

	private FleetList list = FleetList.EMPTY;

	/**
	 * Creates the state before anything was read.
	 * @param self this instance, not null
	 */
	public FleetState(InstanceIdentity self) {
		this.self = Objects.requireNonNull(self, "self");
	}

	/**
	 * Returns this instance.
	 * @return the identity
	 */
	public InstanceIdentity self() {
		return this.self;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, empty before the first was accepted
	 */
	public Optional<FleetConfiguration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	/**
	 * Returns the version of the configuration in force.
	 * @return the version, 0 before the first was accepted
	 */
	public long configurationVersion() {
		return this.configurationVersion;
	}

	/**
	 * Puts a configuration in force unless an equal or newer one is.
	 * @param version version of the configuration
	 * @param newConfiguration the accepted configuration
	 * @return whether it came into force
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
	 * Returns the last instance list.
	 * @return the list, {@link FleetList#EMPTY} before the first read
	 */
	public FleetList list() {
		return this.list;
	}

	/**
	 * Takes a newly read list unless a newer one is known.
	 * @param newList the list
	 * @return the endpoints that are listed no more, empty when the list was ignored
	 */
	public Set<EndpointId> update(FleetList newList) {
		if (!isNewer(newList)) {
			return Set.of();
		}
		this.list = newList;
		Set<EndpointId> dropped = new HashSet<>(this.endpoints.keySet());
		for (EndpointDescription description : newList.endpoints()) {
			dropped.remove(description.id());
			updateEndpoint(description);
		}
		this.endpoints.keySet().removeAll(dropped);
		return dropped;
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
	 * Returns the endpoints.
	 * @return the states in the order of their identities
	 */
	public Collection<EndpointState> endpoints() {
		return Collections.unmodifiableCollection(this.endpoints.values());
	}

	/**
	 * Returns an endpoint.
	 * @param id the endpoint
	 * @return its state, empty when it is not listed
	 */
	public Optional<EndpointState> endpoint(EndpointId id) {
		return Optional.ofNullable(this.endpoints.get(id));
	}

}
