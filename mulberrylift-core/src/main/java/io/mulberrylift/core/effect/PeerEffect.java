package io.mulberrylift.core.effect;

import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.peer.PeerMessage;

/**
 * Effects that address other instances.
 */
public sealed interface PeerEffect extends Effect {

	/**
	 * Sends a message, which may be lost, duplicated or delayed.
	 *
	 * @param to the receiver
	 * @param message the message
	 */
	record Send(InstanceId to, PeerMessage message) implements PeerEffect {
	}

}
