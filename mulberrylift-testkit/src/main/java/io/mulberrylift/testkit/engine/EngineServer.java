package io.mulberrylift.testkit.engine;

import java.io.IOException;
import java.io.UncheckedIOException;

import io.mulberrylift.testkit.history.HistoryEvent;
import io.mulberrylift.testkit.history.HistoryWriter;
import io.mulberrylift.testkit.http.FaultControls;
import io.mulberrylift.testkit.http.HttpStandIn;
import io.mulberrylift.testkit.http.NetworkFaults;
import io.mulberrylift.testkit.http.Router;

/**
 * Stand-in for a model engine: implements the engine protocol over HTTP with an
 * {@link EngineModel} that runs in scaled real time.
 *
 * <p>
 * Fault switches under {@code /control}: {@code crash}, {@code crash-on-prompt}
 * {@code {"marker"}}, {@code hang}, {@code drain} and {@code refuse} {@code {"on"}},
 * {@code slow} {@code {"factor"}}, {@code cut} {@code {"zones"}}, and for the next stream
 * {@code truncate} and {@code error} {@code {"afterTokens"}}, {@code duplicate} and
 * {@code reorder}.
 * </p>
 *
 * <p>
 * {@link #start()} and {@link #stop()} must be called by the same thread; requests are
 * served concurrently.
 * </p>
 */
public final class EngineServer {

	private final EngineOptions options;

	private final HistoryWriter history;

	private final EngineRunner runner;

	private final EngineRoutes routes;

	private final EngineFaults faults = new EngineFaults();

	private final NetworkFaults networkFaults = new NetworkFaults();

	private final HttpStandIn http;

	/**
	 * Creates an engine, without starting it, whose crashes terminate this process.
	 * @param options the engine options
	 * @param history the writer of history events
	 */
	public EngineServer(EngineOptions options, HistoryWriter history) {
		this(options, history, FaultControls::haltProcess);
	}

	/**
	 * Creates an engine without starting it.
	 * @param options the engine options
	 * @param history the writer of history events
	 * @param crash the action of a crash
	 */
	public EngineServer(EngineOptions options, HistoryWriter history, Runnable crash) {
		this.options = options;
		this.history = history;
		this.runner = new EngineRunner(options, history, crash);
		this.routes = new EngineRoutes(options, this.runner, this.faults, history);
		Router router = new Router();
		this.routes.addTo(router);
		addControls(new FaultControls(router, this.networkFaults, crash));
		this.http = new HttpStandIn(options.port(), router, this.networkFaults);
	}

	/**
	 * Starts the server.
	 * @throws IllegalStateException if the server cannot listen on the port
	 */
	public void start() {
		this.history
			.write(new HistoryEvent.Started(System.currentTimeMillis(), this.options.id(), this.routes.incarnation()));
		this.runner.start();
		this.http.start();
	}

	/**
	 * Closes all connections, stops the server and discards all requests.
	 */
	public void stop() {
		this.http.stop();
		this.runner.stop();
		try {
			this.routes.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Failed to close the HTTP client of engine " + this.options.id(), ex);
		}
	}

	/**
	 * Returns the port on which the engine listens.
	 * @return the port, not positive before the server is started
	 */
	public int port() {
		return this.http.port();
	}

	/**
	 * Returns the address on which the engine listens.
	 * @return the address as {@code host:port}
	 */
	public String address() {
		return this.http.address();
	}

	/**
	 * Returns the current memory usage of the engine.
	 * @return the memory usage
	 */
	public MemoryUsage memory() {
		return this.runner.apply(EngineModel::memory);
	}

	private void addControls(FaultControls controls) {
		controls.addSwitch("crash-on-prompt", EngineFaults.PromptMarker.class,
				(body) -> this.faults.setCrashMarker(body.marker()));
		controls.addSwitch("hang", FaultControls.Switch.class, (body) -> setHanging(body.on()));
		controls.addSwitch("drain", FaultControls.Switch.class, (body) -> this.faults.setDraining(body.on()));
		controls.addSwitch("refuse", EngineFaults.Refusal.class,
				(body) -> this.faults.setRefusalStatus(body.effectiveStatus()));
		controls.addSwitch("slow", EngineFaults.SlowdownFactor.class, (body) -> this.runner.apply((model) -> {
			model.setSlowdownFactor(body.factor());
			return body;
		}));
		controls.addSwitch("truncate", EngineFaults.StopAfter.class,
				(body) -> this.faults.truncateNext(body.afterTokens()));
		controls.addSwitch("error", EngineFaults.StopAfter.class, (body) -> this.faults.failNext(body.afterTokens()));
		controls.addSwitch("duplicate", FaultControls.Switch.class, (body) -> this.faults.duplicateNext());
		controls.addSwitch("reorder", FaultControls.Switch.class, (body) -> this.faults.reorderNext());
	}

	private void setHanging(boolean on) {
		this.runner.setFrozen(on);
		this.networkFaults.setHanging(on);
	}

}
