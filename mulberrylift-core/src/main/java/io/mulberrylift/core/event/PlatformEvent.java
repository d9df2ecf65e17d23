package io.mulberrylift.core.event;

import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.time.Moment;

/**
 * Events of the platform's services.
 */
public sealed interface PlatformEvent extends Event {

	/**
	 * The instance list was read.
	 *
	 * @param at when it was observed
	 * @param list the list, possibly old
	 */
	record ListRead(Moment at, FleetList list) implements PlatformEvent {
	}

	/**
	 * The configuration service answered with a document, which has been checked.
	 *
	 * @param at when it was observed
	 * @param check the verdict on the document
	 */
	record ConfigurationRead(Moment at, ConfigurationCheck check) implements PlatformEvent {
	}

	/**
	 * A watch of the configuration ended without a newer document.
	 *
	 * @param at when it was observed
	 */
	record ConfigurationUnchanged(Moment at) implements PlatformEvent {
	}

	/**
	 * A read or watch failed.
	 *
	 * @param at when it was observed
	 * @param source what was read
	 * @param detail what went wrong
	 */
	record ReadFailed(Moment at, Source source, String detail) implements PlatformEvent {
	}

	/**
	 * The platform's services.
	 */
	enum Source {

		/** The configuration service. */
		CONFIGURATION,

		/** The instance list. */
		LIST

	}

}
