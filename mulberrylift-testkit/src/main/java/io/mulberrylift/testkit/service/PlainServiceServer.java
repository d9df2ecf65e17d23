package io.mulberrylift.testkit.service;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.mulberrylift.testkit.engine.AnswerText;
import io.mulberrylift.testkit.history.HistoryEvent;
import io.mulberrylift.testkit.history.HistoryWriter;
import io.mulberrylift.testkit.http.Exchange;
import io.mulberrylift.testkit.http.FaultControls;
import io.mulberrylift.testkit.http.HttpStandIn;
import io.mulberrylift.testkit.http.NetworkFaults;
import io.mulberrylift.testkit.http.Router;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Stand-in for a plain service. It executes each accepted call, including calls with an
 * idempotency key seen before, and lists the executions at
 * {@code GET /control/executions}. The response is the {@link ServiceReceipt} of the
 * body.
 *
 * <p>
 * Fault switches under {@code /control}: {@code crash}, {@code crash-before} and
 * {@code crash-after} the next execution, {@code hang}, {@code drain} and {@code refuse}
 * {@code {"on"}}, {@code latency} {@code {"latencyMillis"}}, {@code cut}
 * {@code {"zones"}}.
 * </p>
 *
 * <p>
 * Invariant: a call refused with {@code Not-Run: true} is not counted. {@link #start()}
 * and {@link #stop()} must be called by the same thread; requests are served
 * concurrently.
 * </p>
 */
public final class PlainServiceServer {

	private static final String KEY_HEADER = "Idempotency-Key";

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final ServiceOptions options;

	private final HistoryWriter history;

	private final Runnable crash;

	private final ServiceFaults faults;

	private final ExecutionLog executions = new ExecutionLog();

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicLong lastExecutionId = new AtomicLong();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "service-timer");
		thread.setDaemon(true);
		return thread;
	});

	private final NetworkFaults networkFaults = new NetworkFaults();

	private final HttpStandIn http;

	private final long incarnation = System.currentTimeMillis();

	private ServiceMessages.LoadBody lastLoadReport;

	private long lastLoadNanos;

	/**
	 * Creates a service, without starting it, whose crashes terminate this process.
	 * @param options the service options
	 * @param history the writer of history events
	 */
	public PlainServiceServer(ServiceOptions options, HistoryWriter history) {
		this(options, history, FaultControls::haltProcess);
	}

	/**
	 * Creates a service without starting it.
	 * @param options the service options
	 * @param history the writer of history events
	 * @param crash the action of a crash; if it returns, the connection of the call is
	 * closed
	 */
	public PlainServiceServer(ServiceOptions options, HistoryWriter history, Runnable crash) {
		this.options = options;
		this.history = history;
		this.crash = crash;
		this.faults = new ServiceFaults(options.latencyMillis());
		Router router = new Router();
		addControls(new FaultControls(router, this.networkFaults, crash));
		router.on("GET", "/control/executions",
				(exchange) -> exchange.respond(HttpStatus.OK_200, new ServiceMessages.Executions(executions())));
		router.on("GET", "/service/v1/load", (exchange) -> exchange.respond(HttpStatus.OK_200, loadReport()));
		router.setFallback(this::call);
		this.http = new HttpStandIn(options.port(), router, this.networkFaults);
	}

	/**
	 * Starts the server.
	 * @throws IllegalStateException if the server cannot listen on the port
	 */
	public void start() {
		this.history.write(new HistoryEvent.Started(System.currentTimeMillis(), this.options.id(), this.incarnation));
		this.http.start();
	}

	/**
	 * Closes all connections, stops the server and discards running calls.
	 */
	public void stop() {
		this.http.stop();
		this.timer.shutdownNow();
	}

	/**
	 * Returns the port on which the service listens.
	 * @return the port, not positive before the server is started
	 */
	public int port() {
		return this.http.port();
	}

	/**
	 * Returns the address on which the service listens.
	 * @return the address as {@code host:port}
	 */
	public String address() {
		return this.http.address();
	}

	/**
	 * Returns the numbers of executions.
	 * @return one entry per idempotency key and body, in the order of first execution
	 */
	public List<Execution> executions() {
		return this.executions.list();
	}

	private void addControls(FaultControls controls) {
		controls.addSwitch("crash-before", FaultControls.Switch.class, (body) -> this.faults.crashBefore(body.on()));
		controls.addSwitch("crash-after", FaultControls.Switch.class, (body) -> this.faults.crashAfter(body.on()));
		controls.addSwitch("hang", FaultControls.Switch.class, (body) -> this.networkFaults.setHanging(body.on()));
		controls.addSwitch("drain", FaultControls.Switch.class, (body) -> this.faults.setDraining(body.on()));
		controls.addSwitch("refuse", FaultControls.Switch.class, (body) -> this.faults.setRefusing(body.on()));
		controls.addSwitch("latency", ServiceMessages.Latency.class,
				(body) -> this.faults.setLatencyMillis(body.latencyMillis()));
	}

	private void call(Exchange exchange) throws IOException {
		if (this.faults.refusesCalls()) {
			exchange.setHeader("Not-Run", "true");
			exchange.setHeader("Retry-After", "1");
			exchange.respond(HttpStatus.SERVICE_UNAVAILABLE_503);
			return;
		}
		Call call = new Call(exchange, Long.toString(this.lastExecutionId.incrementAndGet()),
				exchange.header(KEY_HEADER).orElse(""), AnswerText.promptHash(exchange.body()));
		this.history.write(new HistoryEvent.NewWork(System.currentTimeMillis(), this.options.id(), call.id()));
		if (this.faults.crashBefore()) {
			crash(exchange);
			return;
		}
		execute(call);
	}

	private void execute(Call call) {
		this.running.incrementAndGet();
		this.executions.add(call.key(), call.bodyHash());
		this.history.write(new HistoryEvent.Run(System.currentTimeMillis(), this.options.id(), call.id(),
				call.bodyHash(), call.key()));
		this.timer.schedule(() -> finish(call), this.faults.latencyMillis(), TimeUnit.MILLISECONDS);
	}

	private void finish(Call call) {
		this.running.decrementAndGet();
		this.history.write(new HistoryEvent.RunEnd(System.currentTimeMillis(), this.options.id(), call.id(), true));
		if (this.faults.crashAfter()) {
			crash(call.exchange());
			return;
		}
		call.exchange().respondText(HttpStatus.OK_200, "application/json", ServiceReceipt.text(call.bodyHash()));
	}

	private void crash(Exchange exchange) {
		this.crash.run();
		exchange.close();
	}

	private synchronized ServiceMessages.LoadBody loadReport() {
		long nowNanos = System.nanoTime();
		long ageMillis = (nowNanos - this.lastLoadNanos) / NANOS_PER_MILLI;
		if (this.lastLoadReport == null || ageMillis >= this.options.reportLagMillis()) {
			this.lastLoadReport = new ServiceMessages.LoadBody(this.incarnation, this.running.get(), 0, 0, 0,
					this.faults.draining(), List.of(), "service", 0);
			this.lastLoadNanos = nowNanos;
			ageMillis = 0;
		}
		return this.lastLoadReport.withAge(ageMillis);
	}

	private record Call(Exchange exchange, String id, String key, long bodyHash) {
	}

}
