package io.mulberrylift.testkit.http;

import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * HTTP server of a stand-in on the loopback address.
 *
 * <p>
 * Invariant: each request passes the fault gate before it is routed, except those to
 * {@code /control}. {@link #start()} and {@link #stop()} belong to one thread.
 * </p>
 */
public final class HttpStandIn {

	private static final String HOST = "127.0.0.1";

	private static final UriCompliance ENCODED_SLASHES = UriCompliance.DEFAULT.with("ENCODED_SLASHES",
			UriCompliance.Violation.AMBIGUOUS_PATH_SEPARATOR, UriCompliance.Violation.AMBIGUOUS_PATH_ENCODING);

	private static final int MAX_THREADS = 64;

	private static final long STOP_WITHOUT_WAITING = 0;

	private static final long IDLE_TIMEOUT_MILLIS = 3_600_000;

	private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS);

	private final Server server;

	private final ServerConnector connector;

	private final Router router;

	private final NetworkFaults networkFaults;

	/**
	 * Creates a server that does not listen yet.
	 * @param port the port, 0 for a free one
	 * @param router finds the handlers
	 * @param gate lets requests pass
	 */
	public HttpStandIn(int port, Router router, NetworkFaults gate) {
		this.router = router;
		this.networkFaults = gate;
		this.server = new Server(this.threads);
		HttpConfiguration configuration = new HttpConfiguration();
		configuration.setUriCompliance(ENCODED_SLASHES);
		configuration.setSendServerVersion(false);
		this.connector = new ServerConnector(this.server, new HttpConnectionFactory(configuration));
		this.connector.setHost(HOST);
		this.connector.setPort(port);
		this.connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
		this.server.addConnector(this.connector);
		this.server.setHandler(new RoutingHandler());
		this.server.setStopTimeout(STOP_WITHOUT_WAITING);
	}

	/**
	 * Begins to listen.
	 * @throws IllegalStateException if the port cannot be opened
	 */
	public void start() {
		try {
			this.server.start();
		}
		catch (Exception ex) {
			throw new IllegalStateException("Cannot listen on " + HOST + "; choose another port", ex);
		}
	}

	/**
	 * Closes all connections and stops listening.
	 */
	public void stop() {
		this.networkFaults.setDown(true);
		try {
			this.server.stop();
		}
		catch (Exception ex) {
			throw new IllegalStateException("Cannot stop the server on " + HOST, ex);
		}
	}

	/**
	 * Returns the port.
	 * @return the port, not positive before the start
	 */
	public int port() {
		return this.connector.getLocalPort();
	}

	/**
	 * Returns where the server listens.
	 * @return host and port
	 */
	public String address() {
		return HOST + ":" + port();
	}

	private final class RoutingHandler extends Handler.Abstract {

		@Override
		public boolean handle(Request request, Response response, Callback callback) {
			Exchange exchange = new Exchange(request, response, callback);
			if (exchange.rawPath().startsWith("/control/")) {
				HttpStandIn.this.router.route(exchange);
				return true;
			}
			HttpStandIn.this.networkFaults.dispatch(exchange, () -> HttpStandIn.this.router.route(exchange));
			return true;
		}

	}

}
