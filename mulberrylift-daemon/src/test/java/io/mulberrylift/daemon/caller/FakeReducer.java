package io.mulberrylift.daemon.caller;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Function;

import io.mulberrylift.core.event.Event;
import io.mulberrylift.core.event.RequestEvent;
import io.mulberrylift.core.time.Moment;
import io.mulberrylift.daemon.exchange.CallerExchange;
import io.mulberrylift.daemon.exchange.ExchangeTable;
import io.mulberrylift.daemon.loop.EventSink;

/**
 * Fake reducer that records the events and runs a test's action on each arrival.
 */
final class FakeReducer implements EventSink {

	final List<Event> events = new CopyOnWriteArrayList<>();

	volatile ExchangeTable exchanges;

	volatile Consumer<CallerExchange> onArrived = (exchange) -> {
	};

	@Override
	public void submit(Function<Moment, Event> event) {
		Event created = event.apply(new Moment(0, 0));
		this.events.add(created);
		if (created instanceof RequestEvent.Arrived arrived) {
			this.onArrived.accept(this.exchanges.find(arrived.spec().requestId()).orElseThrow());
		}
	}

	long count(Class<? extends Event> type) {
		return this.events.stream().filter(type::isInstance).count();
	}

}
