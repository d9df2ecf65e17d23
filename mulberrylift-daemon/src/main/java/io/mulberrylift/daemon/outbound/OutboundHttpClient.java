package io.mulberrylift.daemon.outbound;

import java.net.URISyntaxException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Future;

import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.ChainElement;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.client5.http.impl.async.HttpAsyncClients;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManager;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder;
import org.apache.hc.client5.http.protocol.HttpClientContext;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.message.BasicHeader;
import org.apache.hc.core5.http.nio.AsyncRequestProducer;
import org.apache.hc.core5.http.nio.AsyncResponseConsumer;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityProducer;
import org.apache.hc.core5.http.nio.support.BasicRequestProducer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.PoolConcurrencyPolicy;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An asynchronous HTTP client that never retries a call on its own.
 *
 * <p>
 * Safe for use by several threads. No method blocks; callbacks run on reactor threads or,
 * when a call fails immediately, on the caller's thread.
 * </p>
 */
public final class OutboundHttpClient implements AutoCloseable {

	/** Name of the header that carries the sender's availability zone. */
	public static final String ZONE_HEADER = "From-Zone";

	/** Name of the header that names a call; servers return it with their answer. */
	public static final String CALL_HEADER = "Call-Id";

	private static final Logger LOGGER = LoggerFactory.getLogger(OutboundHttpClient.class);

	private static final int MAX_CONNECTIONS = 65_536;

	private static final TimeValue IDLE_TIMEOUT = TimeValue.ofSeconds(5);

	private final CloseableHttpAsyncClient client;

	private final Timeout connectTimeout;

	private volatile boolean closed;

	/**
	 * Creates and starts a client.
	 * @param settings the settings
	 */
	public OutboundHttpClient(HttpClientSettings settings) {
		this.connectTimeout = Timeout.ofMilliseconds(settings.connectTimeoutMillis());
		CallNames names = new CallNames();
		this.client = HttpAsyncClients.custom()
			.setConnectionManager(connectionManager(settings))
			.setIOReactorConfig(IOReactorConfig.custom().setIoThreadCount(settings.ioThreads()).build())
			.setIoReactorExceptionCallback(this::reactorFailed)
			.setIoSessionDecorator(WindowedSession::new)
			.setHttp1Config(Http1Config.custom().setInitialWindowSize(settings.windowBytes()).build())
			.setDefaultHeaders(List.of(new BasicHeader(ZONE_HEADER, settings.zone().value())))
			.addRequestInterceptorLast(names)
			.addResponseInterceptorFirst(names)
			.setConnectionReuseStrategy(names)
			.setKeepAliveStrategy((response, context) -> IDLE_TIMEOUT)
			.evictIdleConnections(IDLE_TIMEOUT)
			.addExecInterceptorAfter(ChainElement.CONNECT.name(), SendGate.class.getSimpleName(), new SendGateHandler())
			.disableAutomaticRetries()
			.disableRedirectHandling()
			.disableCookieManagement()
			.disableAuthCaching()
			.build();
		this.client.start();
	}

	private PoolingAsyncClientConnectionManager connectionManager(HttpClientSettings settings) {
		return PoolingAsyncClientConnectionManagerBuilder.create()
			.setMaxConnPerRoute(settings.maxConnectionsPerAddress())
			.setMaxConnTotal(MAX_CONNECTIONS)
			.setPoolConcurrencyPolicy(PoolConcurrencyPolicy.STRICT)
			.setDefaultConnectionConfig(ConnectionConfig.custom().setConnectTimeout(this.connectTimeout).build())
			.build();
	}

	/**
	 * Starts a call that is sent only while a gate is open.
	 * @param <T> the result
	 * @param exchange the call
	 * @param gate checked just before the first byte is sent
	 * @param timeoutMillis time without data from the server after which the call fails,
	 * in milliseconds
	 * @param callback receives the result or the failure
	 * @return the call; cancelling it closes its connection
	 */
	public <T> Future<T> execute(Exchange<T> exchange, SendGate gate, long timeoutMillis, FutureCallback<T> callback) {
		HttpClientContext context = context(timeoutMillis);
		SendGateHandler.attach(gate, context);
		return this.client.execute(exchange.producer(), exchange.consumer(), null, context, callback);
	}

	/**
	 * Parses an address.
	 * @param address the address as {@code host:port}
	 * @return the host
	 * @throws IllegalArgumentException if the address is malformed
	 */
	public static HttpHost host(String address) {
		try {
			return HttpHost.create("http://" + address);
		}
		catch (URISyntaxException ex) {
			throw new IllegalArgumentException("Address " + address + " is malformed; expected host:port", ex);
		}
	}

	/**
	 * Starts a short call whose response is buffered in full.
	 * @param request the request
	 * @param json body as JSON text, empty for none
	 * @param limitBytes largest allowed response body in bytes
	 * @param timeoutMillis time without data from the server after which the call fails,
	 * in milliseconds
	 * @param callback receives the result or the failure
	 */
	public void call(HttpRequest request, Optional<String> json, int limitBytes, long timeoutMillis,
			FutureCallback<HttpReply> callback) {
		BasicAsyncEntityProducer entity = json
			.map((text) -> new BasicAsyncEntityProducer(text, ContentType.APPLICATION_JSON))
			.orElse(null);
		this.client.execute(new BasicRequestProducer(request, entity), new ReplyConsumer(limitBytes), null,
				context(timeoutMillis), callback);
	}

	private HttpClientContext context(long timeoutMillis) {
		HttpClientContext context = HttpClientContext.create();
		context.setRequestConfig(RequestConfig.custom()
			.setConnectionRequestTimeout(this.connectTimeout)
			.setResponseTimeout(Timeout.ofMilliseconds(Math.max(1, timeoutMillis)))
			.setHardCancellationEnabled(true)
			.setExpectContinueEnabled(false)
			.setProtocolUpgradeEnabled(false)
			.build());
		return context;
	}

	private void reactorFailed(Exception ex) {
		if (!this.closed) {
			LOGGER.error("outbound: I/O reactor failed; restart the process", ex);
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.client.close(CloseMode.IMMEDIATE);
	}

	/**
	 * The request producer and the response consumer of a call.
	 *
	 * @param <T> the result
	 * @param producer produces the request
	 * @param consumer consumes the response
	 */
	public record Exchange<T>(AsyncRequestProducer producer, AsyncResponseConsumer<T> consumer) {
	}

}
