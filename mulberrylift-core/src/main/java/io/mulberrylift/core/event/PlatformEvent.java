package io.mulberrylift.core.event;

import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.time.Moment;

/**
 * Events that originate from the platform's services.
 */
public sealed interface PlatformEvent extends Event {

	/**
	 * The instance list was read.
	 *
	 * @param at when it was observed
	 * @param list the list, possibly outdated
	 */
	record ListRead(Moment at, FleetList list) implements PlatformEvent {
	}

	/**
	 * The configuration service returned a document, which has been checked.
	 *
	 * @param at when it was observed
	 * @param check the result of the check
	 */
	record ConfigurationRead(Moment at, ConfigurationCheck check) implements PlatformEvent {
	}

	/**
	 * A read or watch of the configuration ended without a newer document.
	 *
	 * @param at when it was observed
	 */
	record ConfigurationUnchanged(Moment at) implements PlatformEvent {
	}

	/**
	 * A read or watch of a platform service failed.
	 *
	 * @param at when it was observed
	 * @param source the service that was read
	 * @param detail the cause of the failure
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
