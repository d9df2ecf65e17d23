package io.mulberrylift.daemon.loop;

import java.util.function.Function;

import io.mulberrylift.core.event.Event;
import io.mulberrylift.core.time.Moment;

/**
 * Takes events to the reducer.
 *
 * <p>
 * Safe for use by several threads. Never blocks.
 * </p>
 */
@FunctionalInterface
public interface EventSink {

	/**
	 * Queues an event. The loop calls the function with the current moment when it takes
	 * the event.
	 * @param event makes the event, must not block
	 */
	void submit(Function<Moment, Event> event);

}
