package io.mulberrylift.gateway.loop;

import java.util.List;

/**
 * What a deployment publishes, as one instance has read it.
 *
 * <p>
 * Implementations run on the event loop only. They report configurations and endpoints to
 * the {@link GatewayLoop} that they were started with.
 * </p>
 */
public interface PlatformView {

	/**
	 * Begins to read and to watch.
	 * @param loop takes what is read
	 */
	void start(GatewayLoop loop);

	/**
	 * Returns the newest revision that the view reflects.
	 * @return the revision, 0 before the first whole reading
	 */
	long revision();

	/**
	 * Writes the whole view for a peer that cannot read the platform itself.
	 * @return the view, empty when nothing has been read
	 */
	byte[] snapshot();

	/**
	 * Tells which peers have a newer view.
	 * @param peers their addresses, the newest first, empty when there is none
	 */
	void updatePeersAhead(List<String> peers);

}
