package io.mulberrylift.gateway.loop;

import java.util.List;

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
	 * Returns the newest revision that the view reflects.
	 * @return the revision, {@link StoreRevision#NONE} until everything has been read
	 * once
	 */
	StoreRevision revision();

	/**
	 * Encodes the complete view for a peer that cannot read the platform itself.
	 * @return the view, empty until everything has been read once
	 */
	byte[] snapshot();

	/**
	 * Updates the list of peers that have a newer view.
	 * @param peers their addresses, the newest view first, empty if there are none
	 */
	void updatePeersAhead(List<String> peers);

}
