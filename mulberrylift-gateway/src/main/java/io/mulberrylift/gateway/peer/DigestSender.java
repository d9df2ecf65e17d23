package io.mulberrylift.gateway.peer;

import java.util.List;

import io.mulberrylift.core.gossip.InstanceDigest;

/**
 * Sends digests to peers.
 */
@FunctionalInterface
public interface DigestSender {

	/**
	 * Sends a digest.
	 * @param digest the digest
	 * @param targets addresses of the peers, as HOST:PORT
	 * @param maxBytes maximum size of the message; work that does not fit is left out
	 * @return bytes sent to all targets, including datagram headers
	 */
	int send(InstanceDigest digest, List<String> targets, int maxBytes);

}
