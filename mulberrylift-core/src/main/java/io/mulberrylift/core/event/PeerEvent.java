package io.mulberrylift.core.event;

import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.peer.PeerMessage;
import io.mulberrylift.core.time.Moment;

/**
 * Events that originate from other instances.
 */
public sealed interface PeerEvent extends Event {

	/**
	 * A message from another instance arrived.
	 *
	 * @param at when it was observed
	 * @param from the sender
	 * @param senderIncarnation incarnation of the sender's process
	 * @param message the message
	 */
	record Received(Moment at, InstanceId from, long senderIncarnation, PeerMessage message) implements PeerEvent {
	}

	/**
	 * A configuration document from another instance arrived and has been checked.
	 *
	 * @param at when it was observed
	 * @param from the sender
	 * @param check the result of the check
	 */
	record ConfigurationReceived(Moment at, InstanceId from, ConfigurationCheck check) implements PeerEvent {
	}

}
