package io.mulberrylift.daemon.outbound;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import io.mulberrylift.core.event.Event;
import io.mulberrylift.core.time.Moment;
import io.mulberrylift.daemon.loop.EventSink;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Records submitted events for tests.
 */
public final class RecordingEventSink implements EventSink {

	private static final long TIMEOUT_SECONDS = 30;

	private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

	@Override
	public void submit(Function<Moment, Event> event) {
		this.events.add(event.apply(new Moment(0, 0)));
	}

	public <T extends Event> T next(Class<T> type) throws InterruptedException {
		Event event = this.events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		assertThat(event).isInstanceOf(type);
		return type.cast(event);
	}

	public List<Event> pending() {
		return List.copyOf(this.events);
	}

	public static void await(String description, BooleanSupplier condition) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as(description).isLessThan(deadlineNanos);
			Thread.sleep(5);
		}
	}

}
