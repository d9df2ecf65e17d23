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
 * Stand-in for the platform: configuration service and instance list.
 *
 * <p>
 * Control requests under {@code /control}: {@code configuration} {@code {"document"}}
 * publishes the next version, {@code instances} {@code {"addInstances", "addEndpoints",
 * "remove", "leaving", "staying"}} changes the list, {@code stale}, {@code down} and
 * {@code hang} {@code {"on"}}, {@code cut} {@code {"zones"}}, {@code crash}.
 * {@code GET /control/reads} returns the number of reads and of waiting watches.
 * </p>
 *
 * <p>
 * {@link #start()} and {@link #stop()} must be called by the same thread; requests are
 * served concurrently.
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
	 * Creates a platform, without starting it, that has not published anything.
	 * @param port the port, 0 to choose a free port
	 * @param history the writer of history events
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
	 * Starts the server.
	 * @throws IllegalStateException if the server cannot listen on the port
	 */
	public void start() {
		this.http.start();
	}

	/**
	 * Closes all connections and stops the server.
	 */
	public void stop() {
		this.http.stop();
		this.watches.stop();
	}

	/**
	 * Returns the port on which the platform listens.
	 * @return the port, not positive before the server is started
	 */
	public int port() {
		return this.http.port();
	}

	/**
	 * Returns the address on which the platform listens.
	 * @return the address as {@code host:port}
	 */
	public String address() {
		return this.http.address();
	}

	/**
	 * Publishes a new version of the configuration.
	 * @param document the configuration document
	 * @return the published version
	 */
	public long publish(String document) {
		long version = this.state.publish(document);
		this.watches.notifyPublished();
		return version;
	}

	/**
	 * Adds an instance to the list, or replaces the entry with its id.
	 * @param instance the instance; its {@code listedSinceEpochMillis} is set to the
	 * current time
	 */
	public void add(ListedInstance instance) {
		change(new PlatformMessages.ListChange(List.of(instance), null, null, null, null));
	}

	/**
	 * Adds an endpoint to the list, or replaces the entry with its id.
	 * @param endpoint the endpoint to add
	 */
	public void add(ListedEndpoint endpoint) {
		change(new PlatformMessages.ListChange(null, List.of(endpoint), null, null, null));
	}

	/**
	 * Removes an instance or endpoint from the list.
	 * @param id the id; an unknown id is ignored
	 */
	public void remove(String id) {
		change(new PlatformMessages.ListChange(null, null, Set.of(id), null, null));
	}

	/**
	 * Marks an instance or endpoint as leaving.
	 * @param id the id; an unknown id is ignored
	 */
	public void markLeaving(String id) {
		change(new PlatformMessages.ListChange(null, null, null, Set.of(id), null));
	}

	/**
	 * Serves only the content published so far, or serves current content again.
	 * @param on whether to serve stale content
	 */
	public void setStale(boolean on) {
		this.state.setStale(on, System.currentTimeMillis());
		this.watches.notifyPublished();
	}

	/**
	 * Closes the connections of active and new requests, or serves requests again.
	 * @param on whether the platform is down
	 */
	public void setDown(boolean on) {
		this.networkFaults.setDown(on);
	}

	/**
	 * Partitions the given availability zones and reconnects all others.
	 * @param zones the zones to partition, empty for none
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
