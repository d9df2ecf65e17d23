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
 * HTTP server of a stand-in that listens on the loopback address.
 *
 * <p>
 * Invariant: network faults are applied to each request before it is routed, except
 * requests to {@code /control}. {@link #start()} and {@link #stop()} must be called by
 * the same thread.
 * </p>
 */
public final class HttpStandIn {

	private static final String HOST = "127.0.0.1";

	private static final String CALL_ID = "Call-Id";

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
	 * Creates a server without starting it.
	 * @param port the port, 0 to choose a free port
	 * @param router the router that handles the requests
	 * @param networkFaults the network faults to apply
	 */
	public HttpStandIn(int port, Router router, NetworkFaults networkFaults) {
		this.router = router;
		this.networkFaults = networkFaults;
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
	 * Starts the server.
	 * @throws IllegalStateException if the server cannot listen on the port
	 */
	public void start() {
		try {
			this.server.start();
		}
		catch (Exception ex) {
			throw new IllegalStateException("Failed to start the HTTP server on " + HOST + "; choose another port", ex);
		}
	}

	/**
	 * Closes all connections and stops the server.
	 */
	public void stop() {
		this.networkFaults.setDown(true);
		try {
			this.server.stop();
		}
		catch (Exception ex) {
			throw new IllegalStateException("Failed to stop the HTTP server on " + HOST, ex);
		}
	}

	/**
	 * Returns the port on which the server listens.
	 * @return the port, not positive before the server is started
	 */
	public int port() {
		return this.connector.getLocalPort();
	}

	/**
	 * Returns the address on which the server listens.
	 * @return the address as {@code host:port}
	 */
	public String address() {
		return HOST + ":" + port();
	}

	private final class RoutingHandler extends Handler.Abstract {

		@Override
		public boolean handle(Request request, Response response, Callback callback) {
			String call = request.getHeaders().get(CALL_ID);
			if (call != null) {
				response.getHeaders().put(CALL_ID, call);
			}
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
