package io.mulberrylift.daemon.loop;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import io.mulberrylift.core.Reducer;
import io.mulberrylift.core.effect.Effect;
import io.mulberrylift.core.event.ControlEvent;
import io.mulberrylift.core.event.Event;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.time.Moment;
import io.mulberrylift.daemon.endpoint.AttemptProgressListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the reducer on one thread: processes queued events in order, generates ticks when
 * they are due and executes the resulting effects.
 *
 * <p>
 * Safe for use by several threads. Only the loop's own thread accesses the reducer. An
 * exception in one event or effect is logged and does not stop the loop.
 * </p>
 */
public final class EventLoop implements EventSink, AttemptProgressListener, AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(EventLoop.class);

	private static final long JOIN_MILLIS = 2_000;

	private final BlockingQueue<Consumer<EventLoop>> tasks = new LinkedBlockingQueue<>();

	private final MomentClock clock;

	private final Reducer reducer;

	private final Thread thread;

	private final FleetListener fleetListener;

	private volatile EffectHandler<Effect> handler;

	private FleetList notifiedList = FleetList.EMPTY;

	private long notifiedConfigurationVersion;

	private volatile boolean stopped;

	/**
	 * Creates a loop without starting it.
	 * @param reducer the reducer, owned by the loop from now on
	 * @param clock the clock
	 * @param fleetListener notified of changes of the configuration and the instance list
	 */
	public EventLoop(Reducer reducer, MomentClock clock, FleetListener fleetListener) {
		this.fleetListener = Objects.requireNonNull(fleetListener, "fleetListener");
		this.reducer = Objects.requireNonNull(reducer, "reducer");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.thread = new Thread(this::run, "mulberrylift-loop");
	}

	/**
	 * Starts the loop.
	 * @param effectHandler executes effects; called on the loop's thread
	 */
	public void start(EffectHandler<Effect> effectHandler) {
		this.handler = Objects.requireNonNull(effectHandler, "effectHandler");
		this.thread.start();
	}

	@Override
	public void submit(Function<Moment, Event> event) {
		this.tasks.add((loop) -> loop.reduce(event.apply(loop.clock.now())));
	}

	@Override
	public void tokensAccepted(long attemptId, int acceptedTokens) {
		this.tasks.add((loop) -> loop.reducer.advanceStream(attemptId, acceptedTokens));
	}

	/**
	 * Runs a query against the reducer on the loop's thread.
	 * @param <T> the type of the result
	 * @param query computes a result that must not refer to the reducer's mutable state
	 * @return the result, completed exceptionally when the query throws
	 */
	public <T> CompletableFuture<T> query(Function<Reducer, T> query) {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.tasks.add((loop) -> result.completeAsync(() -> query.apply(loop.reducer), Runnable::run));
		return result;
	}

	private void run() {
		long wakeMonotonicMillis = this.clock.monotonicMillis();
		while (!this.stopped) {
			try {
				Consumer<EventLoop> task = pollUntil(wakeMonotonicMillis);
				if (task != null) {
					task.accept(this);
				}
				Moment now = this.clock.now();
				if (now.monotonicMillis() >= wakeMonotonicMillis) {
					reduce(new ControlEvent.Tick(now));
				}
				wakeMonotonicMillis = this.reducer.nextWakeMonotonicMillis(now);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
			catch (RuntimeException ex) {
				logger.error("loop: processing an event failed; report this as a bug", ex);
			}
		}
	}

	private Consumer<EventLoop> pollUntil(long wakeMonotonicMillis) throws InterruptedException {
		long waitMillis = wakeMonotonicMillis - this.clock.monotonicMillis();
		if (waitMillis <= 0) {
			return this.tasks.poll();
		}
		return this.tasks.poll(waitMillis, TimeUnit.MILLISECONDS);
	}

	private void reduce(Event event) {
		List<Effect> effects = this.reducer.reduce(event);
		notifyFleetListener();
		effects.forEach(this::execute);
	}

	private void notifyFleetListener() {
		FleetState fleet = this.reducer.fleet();
		if (fleet.list() != this.notifiedList || fleet.configurationVersion() != this.notifiedConfigurationVersion) {
			this.notifiedList = fleet.list();
			this.notifiedConfigurationVersion = fleet.configurationVersion();
			this.fleetListener.fleetChanged(fleet);
		}
	}

	private void execute(Effect effect) {
		try {
			this.handler.handle(effect);
		}
		catch (RuntimeException ex) {
			logger.error("loop: executing effect {} failed; report this as a bug", effect.getClass().getSimpleName(),
					ex);
		}
	}

	/**
	 * Stops the loop and waits up to 2 seconds for its thread. Queued events are dropped.
	 */
	@Override
	public void close() {
		this.stopped = true;
		this.thread.interrupt();
		try {
			this.thread.join(JOIN_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
