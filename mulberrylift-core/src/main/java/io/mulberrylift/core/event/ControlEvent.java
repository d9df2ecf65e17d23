package io.mulberrylift.core.event;

import io.mulberrylift.core.time.Moment;

/**
 * Events of the embedding process itself.
 */
public sealed interface ControlEvent extends Event {

	/**
	 * Time has passed. Sent when the reducer's next wake-up is due, at least every 100
	 * milliseconds.
	 *
	 * @param at when it was observed
	 */
	record Tick(Moment at) implements ControlEvent {
	}

	/**
	 * The process was asked to shut down gracefully.
	 *
	 * @param at when it was observed
	 */
	record ShutdownRequested(Moment at) implements ControlEvent {
	}

}
