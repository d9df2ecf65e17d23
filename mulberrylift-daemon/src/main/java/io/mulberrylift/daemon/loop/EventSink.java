package io.mulberrylift.daemon.loop;

import java.util.function.Function;

import io.mulberrylift.core.event.Event;
import io.mulberrylift.core.time.Moment;

/**
 * Accepts events for the reducer.
 *
 * <p>
 * Safe for use by several threads. Never blocks.
 * </p>
 */
@FunctionalInterface
public interface EventSink {

	/**
	 * Enqueues an event. The loop calls the function with the current time when it
	 * processes the event.
	 * @param event creates the event, must not block
	 */
	void submit(Function<Moment, Event> event);

}
