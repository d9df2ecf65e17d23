package io.mulberrylift.core.peer;

import io.mulberrylift.core.configuration.PublishedDocument;

/**
 * Messages that spread the configuration.
 */
public sealed interface ConfigurationMessage extends PeerMessage {

	/**
	 * Asks for the sender's accepted document if it is newer.
	 *
	 * @param knownVersion highest version that the asking instance has in force
	 */
	record Pull(long knownVersion) implements ConfigurationMessage {
	}

	/**
	 * Carries an accepted document.
	 *
	 * @param document the document
	 */
	record Push(PublishedDocument document) implements ConfigurationMessage {
	}

}
