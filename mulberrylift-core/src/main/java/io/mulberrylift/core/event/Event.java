package io.mulberrylift.core.event;

import io.mulberrylift.core.time.Moment;

/**
 * An observation of the embedding process.
 *
 * <p>
 * Immutable. Events are reduced one at a time in the order of their monotonic times.
 * </p>
 */
public sealed interface Event
		permits RequestEvent, AttemptEvent, EndpointEvent, PlatformEvent, PeerEvent, ControlEvent {

	/**
	 * Returns when the event was observed.
	 * @return the monotonic and the wall-clock time
	 */
	Moment at();

}
