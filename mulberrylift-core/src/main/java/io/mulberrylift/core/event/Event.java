package io.mulberrylift.core.event;

import io.mulberrylift.core.time.Moment;

/**
 * Something that the embedding process observed.
 *
 * <p>
 * Immutable. Events are reduced one at a time in the order of their monotonic moments.
 * </p>
 */
public sealed interface Event
		permits RequestEvent, AttemptEvent, EndpointEvent, PlatformEvent, PeerEvent, ControlEvent {

	/**
	 * Returns when the event was observed.
	 * @return the moment
	 */
	Moment at();

}
