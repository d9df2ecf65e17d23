package io.mulberrylift.daemon.instance;

import java.util.Optional;
import java.util.function.Supplier;

import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.daemon.endpoint.EndpointDirectory;
import io.mulberrylift.daemon.loop.FleetListener;
import io.mulberrylift.daemon.peer.PeerDirectory;

/**
 * Holds the current configuration and forwards changes of the instance list to the
 * adapters.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
final class FleetStateHolder implements FleetListener, Supplier<Optional<FleetConfiguration>> {

	private final EndpointDirectory endpoints;

	private final PeerDirectory peers;

	private volatile FleetConfiguration configuration;

	private volatile boolean listKnown;

	FleetStateHolder(EndpointDirectory endpoints, PeerDirectory peers) {
		this.endpoints = endpoints;
		this.peers = peers;
	}

	@Override
	public void fleetChanged(FleetState fleet) {
		this.endpoints.update(fleet.list());
		this.peers.update(fleet.list());
		this.listKnown = fleet.list().version() > 0;
		fleet.configuration().ifPresent((changed) -> this.configuration = changed);
	}

	@Override
	public Optional<FleetConfiguration> get() {
		return Optional.ofNullable(this.configuration);
	}

	boolean hasList() {
		return this.listKnown;
	}

}
