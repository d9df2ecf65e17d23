package io.mulberrylift.core.peer;

import java.util.Objects;

import io.mulberrylift.core.configuration.PublishedDocument;

/**
 * Messages that distribute the configuration.
 */
public sealed interface ConfigurationMessage extends PeerMessage {

	/**
	 * Requests the receiver's accepted document if it is newer.
	 *
	 * @param knownVersion version of the configuration in force at the sender
	 */
	record Pull(long knownVersion) implements ConfigurationMessage {
	}

	/**
	 * Carries an accepted document.
	 *
	 * @param document the document
	 */
	record Push(PublishedDocument document) implements ConfigurationMessage {

		/**
		 * Creates the message.
		 * @throws NullPointerException if a reference is null
		 */
		public Push {
			Objects.requireNonNull(document, "document");
		}

	}

}
