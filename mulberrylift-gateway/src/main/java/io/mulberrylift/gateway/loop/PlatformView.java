package io.mulberrylift.gateway.loop;

import java.util.List;

import io.mulberrylift.core.gossip.StoreKnowledge;
import io.mulberrylift.core.gossip.StoreReading;
import io.mulberrylift.core.gossip.StoreRevision;

/**
 * The configuration and the endpoints of a deployment, as this instance has read them.
 *
 * <p>
 * Implementations are confined to the event loop. They report configurations and
 * endpoints to the {@link GatewayLoop} that they were started with.
 * </p>
 */
public interface PlatformView {

	/**
	 * Starts to read the platform and to watch it for changes.
	 * @param loop receives configurations and endpoints
	 */
	void start(GatewayLoop loop);

	/**
	 * Returns the newest revision up to which the view reflects all changes of endpoints.
	 * @return the revision, {@link StoreRevision#NONE} until everything has been read
	 * once
	 */
	StoreRevision revision();

	/**
	 * Returns the newest revision that need not be read from peers.
	 * @return the revision, at least {@link #revision()}
	 */
	StoreRevision revisionReadFromPeers();

	/**
	 * Returns how this instance learns of changes and how old the latest answer of the
	 * platform is.
	 * @param nowMillis the current time
	 * @return the knowledge, without that of peers
	 */
	StoreKnowledge knowledge(long nowMillis);

	/**
	 * Sets whether this instance reads the platform itself. Until the first call it does.
	 * @param reading whether it does
	 */
	void setReading(StoreReading reading);

	/**
	 * Encodes the view, or its changes, for a peer that does not read the platform
	 * itself.
	 * @param query what the peer has, the query of its call; empty for the complete view
	 * @return the view, empty until everything has been read once
	 */
	byte[] snapshot(String query);

	/**
	 * Updates the version of the newest configuration that a peer has.
	 * @param version the version, 0 if no peer has one
	 */
	void updateNewestConfiguration(long version);

	/**
	 * Updates the list of peers that have a newer view.
	 * @param peers their addresses, empty if there are none
	 */
	void updatePeersAhead(List<String> peers);

}
