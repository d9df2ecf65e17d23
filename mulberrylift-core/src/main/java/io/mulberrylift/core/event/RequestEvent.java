package io.mulberrylift.core.event;

import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.time.Moment;

/**
 * Events that originate from callers.
 */
public sealed interface RequestEvent extends Event {

	/**
	 * A request arrived and its body is complete.
	 *
	 * @param at when it was observed
	 * @param spec the request
	 */
	record Arrived(Moment at, RequestSpec spec) implements RequestEvent {
	}

	/**
	 * The caller closed the connection before the answer was complete.
	 *
	 * @param at when it was observed
	 * @param requestId the request
	 */
	record CallerDisconnected(Moment at, long requestId) implements RequestEvent {
	}

}
