package io.mulberrylift.core.effect;

import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.peer.PeerMessage;

/**
 * Effects towards other instances.
 */
public sealed interface PeerEffect extends Effect {

	/**
	 * Sends a message. It may be lost, doubled or late.
	 *
	 * @param to the receiver
	 * @param message the message
	 */
	record Send(InstanceId to, PeerMessage message) implements PeerEffect {
	}

}
