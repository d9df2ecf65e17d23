package io.mulberrylift.daemon.peer;

import java.util.function.Function;

import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.core.event.PeerEvent;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.peer.ConfigurationMessage;
import io.mulberrylift.core.peer.PeerMessage;
import io.mulberrylift.daemon.loop.EventSink;

/**
 * Converts received messages to events.
 *
 * <p>
 * Safe for use by several threads. Configuration documents are validated on the receiving
 * thread.
 * </p>
 */
public final class PeerReceiver {

	private final Function<PublishedDocument, ConfigurationCheck> checker;

	private final EventSink events;

	/**
	 * Creates the receiver.
	 * @param checker validates a document
	 * @param events receives the events
	 */
	public PeerReceiver(Function<PublishedDocument, ConfigurationCheck> checker, EventSink events) {
		this.checker = checker;
		this.events = events;
	}

	void receive(InstanceId from, long incarnation, PeerMessage message) {
		if (message instanceof ConfigurationMessage.Push push) {
			ConfigurationCheck check = this.checker.apply(push.document());
			this.events.submit((at) -> new PeerEvent.ConfigurationReceived(at, from, check));
		}
		else {
			this.events.submit((at) -> new PeerEvent.Received(at, from, incarnation, message));
		}
	}

}
