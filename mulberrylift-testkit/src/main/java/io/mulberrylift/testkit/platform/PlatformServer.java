package io.mulberrylift.testkit.platform;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import io.mulberrylift.testkit.history.HistoryEvent;
import io.mulberrylift.testkit.history.HistoryWriter;
import io.mulberrylift.testkit.http.Exchange;
import io.mulberrylift.testkit.http.FaultControls;
import io.mulberrylift.testkit.http.HttpStandIn;
import io.mulberrylift.testkit.http.NetworkFaults;
import io.mulberrylift.testkit.http.Router;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Stand-in of the platform: configuration service and instance list.
 *
 * <p>
 * Switches under {@code /control}: {@code configuration} {@code {"document"}} publishes
 * the next version, {@code instances} {@code {"addInstances", "addEndpoints", "remove",
 * "leaving", "staying"}} changes the list, {@code stale}, {@code down} and {@code hang}
 * {@code {"on"}}, {@code cut} {@code {"zones"}}, {@code crash}.
 * {@code GET /control/reads} counts the calls and the watches that wait.
 * </p>
 *
 * <p>
 * Start and stop belong to one thread; requests are served by several threads.
 * </p>
 */
public final class PlatformServer {

	private final PlatformState state = new PlatformState();

	private final ConfigurationWatches watches = new ConfigurationWatches(this.state);

	private final AtomicLong configurationReads = new AtomicLong();

	private final AtomicLong listReads = new AtomicLong();

	private final NetworkFaults networkFaults = new NetworkFaults();

	private final HistoryWriter history;

	private final HttpStandIn http;

	/**
	 * Creates a platform that does not listen yet and has published nothing.
	 * @param port the port, 0 for a free one
	 * @param history receives its events
	 */
	public PlatformServer(int port, HistoryWriter history) {
		this.history = history;
		Router router = new Router();
		FaultControls controls = new FaultControls(router, this.networkFaults, FaultControls::haltProcess);
		controls.addSwitch("stale", FaultControls.Switch.class, (body) -> setStale(body.on()));
		controls.addSwitch("down", FaultControls.Switch.class, (body) -> this.networkFaults.setDown(body.on()));
		controls.addSwitch("hang", FaultControls.Switch.class, (body) -> this.networkFaults.setHanging(body.on()));
		router.on("POST", "/control/configuration", this::publish)
			.on("POST", "/control/instances", this::change)
			.on("GET", "/control/reads", (exchange) -> exchange.respond(HttpStatus.OK_200, reads()))
			.on("GET", "/configuration", this::readConfiguration)
			.on("GET", "/instances", this::readList);
		this.http = new HttpStandIn(port, router, this.networkFaults);
	}

	/**
	 * Begins to serve.
	 * @throws IllegalStateException if the port cannot be opened
	 */
	public void start() {
		this.http.start();
	}

	/**
	 * Closes all connections.
	 */
	public void stop() {
		this.http.stop();
		this.watches.stop();
	}

	/**
	 * Returns the port.
	 * @return the port, not positive before the start
	 */
	public int port() {
		return this.http.port();
	}

	/**
	 * Returns where the platform listens.
	 * @return host and port
	 */
	public String address() {
		return this.http.address();
	}

	/**
	 * Publishes the next version of the configuration.
	 * @param document the text
	 * @return its version
	 */
	public long publish(String document) {
		long version = this.state.publish(document);
		this.watches.notifyPublished();
		return version;
	}

	/**
	 * Lists an instance from now on, also when it was listed before.
	 * @param instance the instance; the platform sets since when it is listed
	 */
	public void add(ListedInstance instance) {
		change(new PlatformMessages.ListChange(List.of(instance), null, null, null, null));
	}

	/**
	 * Lists an endpoint.
	 * @param endpoint the endpoint
	 */
	public void add(ListedEndpoint endpoint) {
		change(new PlatformMessages.ListChange(null, List.of(endpoint), null, null, null));
	}

	/**
	 * Drops an instance or endpoint from the list.
	 * @param id its id, which may be unknown
	 */
	public void remove(String id) {
		change(new PlatformMessages.ListChange(null, null, Set.of(id), null, null));
	}

	/**
	 * Marks an instance or endpoint as leaving.
	 * @param id its id, which may be unknown
	 */
	public void markLeaving(String id) {
		change(new PlatformMessages.ListChange(null, null, null, Set.of(id), null));
	}

	/**
	 * Keeps serving what was published until now, or serves live content again.
	 * @param on whether to be stale
	 */
	public void setStale(boolean on) {
		this.state.setStale(on, System.currentTimeMillis());
		this.watches.notifyPublished();
	}

	/**
	 * Closes all connections, or accepts them again.
	 * @param on whether to be down
	 */
	public void setDown(boolean on) {
		this.networkFaults.setDown(on);
	}

	/**
	 * Cuts the given availability zones off and heals all others.
	 * @param zones the zones, empty for none
	 */
	public void setPartitionedZones(Set<String> zones) {
		this.networkFaults.setPartitionedZones(zones);
	}

	private void publish(Exchange exchange) throws IOException {
		long version = publish(exchange.body(PlatformMessages.Document.class).document());
		exchange.respond(HttpStatus.OK_200, new PlatformMessages.Version(version));
	}

	private void change(Exchange exchange) throws IOException {
		long version = change(exchange.body(PlatformMessages.ListChange.class));
		exchange.respond(HttpStatus.OK_200, new PlatformMessages.Version(version));
	}

	private long change(PlatformMessages.ListChange change) {
		long nowEpochMillis = System.currentTimeMillis();
		long version = this.state.change(change, nowEpochMillis);
		for (String endpoint : this.state.endpointIds()) {
			if (change.leaving().contains(endpoint) || change.staying().contains(endpoint)) {
				this.history
					.write(new HistoryEvent.Leaving(nowEpochMillis, endpoint, change.leaving().contains(endpoint)));
			}
		}
		return version;
	}

	private PlatformMessages.Reads reads() {
		return new PlatformMessages.Reads(this.configurationReads.get(), this.listReads.get(), this.watches.waiting());
	}

	private void readConfiguration(Exchange exchange) {
		this.configurationReads.incrementAndGet();
		this.watches.read(exchange);
	}

	private void readList(Exchange exchange) {
		this.listReads.incrementAndGet();
		exchange.respond(HttpStatus.OK_200, this.state.list(System.currentTimeMillis()));
	}

}
