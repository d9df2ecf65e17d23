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
 * Runs the reducer on one thread: takes queued events in order, sends ticks when they are
 * due and carries out the effects.
 *
 * <p>
 * Safe for use by several threads. Only the loop's own thread touches the reducer. An
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

	private FleetList announcedList = FleetList.EMPTY;

	private long announcedConfigurationVersion;

	private volatile boolean stopped;

	/**
	 * Creates a loop that is not running yet.
	 * @param reducer the reducer, touched by no one else from now on
	 * @param clock the clock
	 * @param fleetListener learns of changes of configuration and list
	 */
	public EventLoop(Reducer reducer, MomentClock clock, FleetListener fleetListener) {
		this.fleetListener = Objects.requireNonNull(fleetListener, "fleetListener");
		this.reducer = Objects.requireNonNull(reducer, "reducer");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.thread = new Thread(this::run, "mulberrylift-loop");
	}

	/**
	 * Starts the loop.
	 * @param effectHandler carries out effects on the loop's thread
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
	 * Reads from the reducer on the loop's thread.
	 * @param <T> the type of the result
	 * @param query reads a result that does not refer to the reducer's mutable state
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
				Consumer<EventLoop> task = takeUntil(wakeMonotonicMillis);
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
				logger.error("loop: an event could not be reduced; report this fault", ex);
			}
		}
	}

	private Consumer<EventLoop> takeUntil(long wakeMonotonicMillis) throws InterruptedException {
		long waitMillis = wakeMonotonicMillis - this.clock.monotonicMillis();
		if (waitMillis <= 0) {
			return this.tasks.poll();
		}
		return this.tasks.poll(waitMillis, TimeUnit.MILLISECONDS);
	}

	private void reduce(Event event) {
		List<Effect> effects = this.reducer.reduce(event);
		announceFleet();
		effects.forEach(this::carryOut);
	}

	private void announceFleet() {
		FleetState fleet = this.reducer.fleet();
		if (fleet.list() != this.announcedList || fleet.configurationVersion() != this.announcedConfigurationVersion) {
			this.announcedList = fleet.list();
			this.announcedConfigurationVersion = fleet.configurationVersion();
			this.fleetListener.fleetChanged(fleet);
		}
	}

	private void carryOut(Effect effect) {
		try {
			this.handler.handle(effect);
		}
		catch (RuntimeException ex) {
			logger.error("loop: effect {} failed; report this fault", effect.getClass().getSimpleName(), ex);
		}
	}

	/**
	 * Stops the loop. Events that are still queued are dropped.
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
