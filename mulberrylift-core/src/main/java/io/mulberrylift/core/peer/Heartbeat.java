package io.mulberrylift.core.peer;

import java.util.Objects;

import io.mulberrylift.core.model.ZoneId;

/**
 * Liveness signal with the versions that are current at the sender.
 *
 * @param zone the sender's availability zone
 * @param sequence number that increases with each heartbeat of one incarnation
 * @param configurationVersion version of the configuration in force at the sender
 * @param listVersion version of the instance list at the sender
 * @param leaving whether the sender is shutting down
 * @param runningRequests number of requests in progress at the sender
 */
public record Heartbeat(ZoneId zone, long sequence, long configurationVersion, long listVersion, boolean leaving,
		int runningRequests) implements PeerMessage {

	/**
	 * Creates the heartbeat.
	 * @throws NullPointerException if the zone is null
	 */
	public Heartbeat {
		Objects.requireNonNull(zone, "zone");
	}

}
