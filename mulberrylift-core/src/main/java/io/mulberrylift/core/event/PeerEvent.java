package io.mulberrylift.core.event;

import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.peer.PeerMessage;
import io.mulberrylift.core.time.Moment;

/**
 * Events of other instances.
 */
public sealed interface PeerEvent extends Event {

	/**
	 * A message arrived from another instance.
	 *
	 * @param at when it was observed
	 * @param from the sender
	 * @param senderIncarnation incarnation of the sender's process
	 * @param message the message
	 */
	record Received(Moment at, InstanceId from, long senderIncarnation, PeerMessage message) implements PeerEvent {
	}

	/**
	 * Another instance sent a configuration document, which has been checked.
	 *
	 * @param at when it was observed
	 * @param from the sender
	 * @param check the verdict on the document
	 */
	record ConfigurationReceived(Moment at, InstanceId from, ConfigurationCheck check) implements PeerEvent {
	}

}
