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
 * An asynchronous HTTP client that never repeats a call by itself.
 *
 * <p>
 * Safe for use by several threads. No method blocks; callbacks run on reactor threads or,
 * when a call fails at once, on the caller's thread.
 * </p>
 */
public final class OutboundHttpClient implements AutoCloseable {

	/** Name of the header that carries the sender's availability zone. */
	public static final String ZONE_HEADER = "From-Zone";

	private static final Logger LOGGER = LoggerFactory.getLogger(OutboundHttpClient.class);

	private static final int MAX_CONNECTIONS = 65_536;

	private static final TimeValue IDLE_TIME = TimeValue.ofSeconds(5);

	private final CloseableHttpAsyncClient client;

	private final Timeout connectTimeout;

	private volatile boolean closed;

	/**
	 * Creates and starts a client.
	 * @param settings the settings
	 */
	public OutboundHttpClient(HttpClientSettings settings) {
		this.connectTimeout = Timeout.ofMilliseconds(settings.connectTimeoutMillis());
		this.client = HttpAsyncClients.custom()
			.setConnectionManager(connectionManager(settings))
			.setIOReactorConfig(IOReactorConfig.custom().setIoThreadCount(settings.ioThreads()).build())
			.setIoReactorExceptionCallback(this::reactorFailed)
			.setIoSessionDecorator(WindowedSession::new)
			.setHttp1Config(Http1Config.custom().setInitialWindowSize(settings.windowBytes()).build())
			.setDefaultHeaders(List.of(new BasicHeader(ZONE_HEADER, settings.zone().value())))
			.setKeepAliveStrategy((response, context) -> IDLE_TIME)
			.evictIdleConnections(IDLE_TIME)
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
	 * Starts a call that leaves only while a gate allows it.
	 * @param <T> the result
	 * @param exchange the call
	 * @param gate asked just before the first byte leaves
	 * @param timeoutMillis longest silence of the server in milliseconds
	 * @param callback told how the call ended
	 * @return cancelling it closes the call's connection
	 */
	public <T> Future<T> execute(Exchange<T> exchange, SendGate gate, long timeoutMillis, FutureCallback<T> callback) {
		HttpClientContext context = context(timeoutMillis);
		SendGateHandler.attach(gate, context);
		return this.client.execute(exchange.producer(), exchange.consumer(), null, context, callback);
	}

	/**
	 * Returns the host of an address.
	 * @param address host and port
	 * @return the host
	 * @throws IllegalArgumentException if the address is malformed
	 */
	public static HttpHost host(String address) {
		try {
			return HttpHost.create("http://" + address);
		}
		catch (URISyntaxException ex) {
			throw new IllegalArgumentException("Address " + address + " is malformed; publish host:port", ex);
		}
	}

	/**
	 * Starts a short call whose answer is collected.
	 * @param request the request
	 * @param json body, empty for none
	 * @param limitBytes greatest allowed answer in bytes
	 * @param timeoutMillis longest silence of the server in milliseconds
	 * @param callback told how the call ended
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
			LOGGER.error("outbound: reactor failed; restart the process", ex);
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.client.close(CloseMode.IMMEDIATE);
	}

	/**
	 * The two halves of a call.
	 *
	 * @param <T> the result
	 * @param producer sends the request
	 * @param consumer takes the answer
	 */
	public record Exchange<T>(AsyncRequestProducer producer, AsyncResponseConsumer<T> consumer) {
	}

}
