package io.mulberrylift.gateway.endpoint;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.mulberrylift.core.forwarding.AttemptOutcome;
import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.forwarding.GatewayEffect;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.gateway.caller.BufferedRequest;
import io.mulberrylift.gateway.http.HttpChannels;
import io.mulberrylift.gateway.http.NetAddress;
import io.mulberrylift.gateway.pressure.Pressure;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Pool of connections to endpoints, together with the attempts in progress.
 *
 * <p>
 * Not thread-safe; confined to the event loop. Idle connections are kept by endpoint
 * identifier, so that a process that reuses the address of another one gets new
 * connections. An endpoint may answer twice. So no connection carries two requests with
 * the same identifier, which would not tell the answers of two runs apart, or HEAD
 * requests beside others, whose answers end elsewhere.
 * </p>
 */
public final class EndpointPool {

	/**
	 * Maximum time to establish a connection; several round trips.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 350;

	private static final int MAX_IDLE_CONNECTIONS = 32;

	private final EventLoopGroup group;

	private final EndpointProtocol protocol;

	private final AttemptListener listener;

	private final LongSupplier clockMillis;

	/** Local address of connections. */
	private final InetSocketAddress source;

	private final Pressure pressure;

	private final Map<EndpointId, Deque<EndpointConnection>> idleConnections = new HashMap<>();

	private final Map<Long, ActiveAttempt> activeAttempts = new HashMap<>();

	private long openedConnections;

	/**
	 * Creates an empty pool.
	 * @param group the event loop
	 * @param protocol encodes requests to endpoints and decodes their answers
	 * @param listener receives the events of attempts
	 * @param clockMillis monotonic time in milliseconds
	 * @param source local address of connections
	 * @param pressure what the connections of the instance hold and wait for
	 */
	public EndpointPool(EventLoopGroup group, EndpointProtocol protocol, AttemptListener listener,
			LongSupplier clockMillis, InetSocketAddress source, Pressure pressure) {
		this.group = Objects.requireNonNull(group, "group");
		this.protocol = Objects.requireNonNull(protocol, "protocol");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
		this.source = Objects.requireNonNull(source, "source");
		this.pressure = Objects.requireNonNull(pressure, "pressure");
	}

	/**
	 * Starts an attempt.
	 * @param send the endpoint and how the request is sent
	 * @param answer receives the endpoint's answer
	 */
	public void send(GatewayEffect.Send send, ForwardedAnswer answer) {
		send(send, answer, this.protocol);
	}

	/**
	 * Starts an attempt that uses another protocol.
	 * @param send the endpoint and how the request is sent
	 * @param answer receives the endpoint's answer
	 * @param attemptProtocol encodes the request and decodes the answer
	 */
	public void send(GatewayEffect.Send send, ForwardedAnswer answer, EndpointProtocol attemptProtocol) {
		EndpointAttempt attempt = new EndpointAttempt(send, answer, attemptProtocol, this.listener, this.pressure);
		ActiveAttempt started = new ActiveAttempt(attempt);
		this.activeAttempts.put(attempt.id(), started);
		EndpointConnection pooled = pollIdle(send.endpoint().id(), attempt.request());
		if (pooled != null) {
			started.connection = pooled;
			pooled.send(attempt);
			return;
		}
		connect(send.endpoint(), started);
	}

	private EndpointConnection pollIdle(EndpointId endpoint, BufferedRequest request) {
		Deque<EndpointConnection> connections = this.idleConnections.get(endpoint);
		if (connections == null) {
			return null;
		}
		long now = this.clockMillis.getAsLong();
		Iterator<EndpointConnection> latestFirst = connections.descendingIterator();
		while (latestFirst.hasNext()) {
			EndpointConnection candidate = latestFirst.next();
			if (!candidate.isUsable(now)) {
				latestFirst.remove();
				candidate.close();
			}
			else if (candidate.mayCarry(request)) {
				latestFirst.remove();
				return candidate;
			}
		}
		return null;
	}

	private void connect(ForwardEndpoint endpoint, ActiveAttempt started) {
		open(endpoint, (connection) -> {
			EndpointAttempt attempt = started.attempt;
			if (connection.isEmpty()) {
				this.activeAttempts.remove(attempt.id());
				attempt.end(AttemptOutcome.NOT_CONNECTED);
			}
			else if (!attempt.isEnded()) {
				started.connection = connection.get();
				connection.get().send(attempt);
			}
			else {
				release(connection.get(), endpoint.id());
			}
		});
	}

	private void open(ForwardEndpoint endpoint, Consumer<Optional<EndpointConnection>> done) {
		this.openedConnections++;
		EndpointResponseDecoder decoder = new EndpointResponseDecoder();
		EndpointConnection connection = new EndpointConnection(this, decoder, endpoint.id(), this.openedConnections);
		HttpChannels.clientBootstrap(this.group, CONNECT_TIMEOUT_MILLIS, EndpointChannel::new)
			.option(ChannelOption.SO_SNDBUF, Pressure.SEND_BUFFER_BYTES)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, Pressure.WATER_MARK)
			.option(ChannelOption.RCVBUF_ALLOCATOR, Pressure.readAllocator())
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
				}
			})
			.connect(new NetAddress(endpoint.host(), endpoint.port()).socketAddress(), this.source)
			.addListener((future) -> {
				if (future.isSuccess()) {
					this.listener.connectionEstablished(endpoint.id());
				}
				done.accept((future.isSuccess()) ? Optional.of(connection) : Optional.empty());
			});
	}

	/**
	 * Tries to establish a connection to an endpoint, which is kept for attempts. The
	 * listener is told if it succeeds.
	 * @param endpoint the endpoint
	 */
	public void probe(ForwardEndpoint endpoint) {
		open(endpoint, (connection) -> connection.ifPresent((established) -> release(established, endpoint.id())));
	}

	/**
	 * Ends an attempt without a report to the listener. The request is never sent if it
	 * was not sent yet.
	 * @param attemptId the attempt
	 */
	public void cancel(long attemptId) {
		ActiveAttempt cancelled = this.activeAttempts.remove(attemptId);
		if (cancelled != null) {
			cancelled.attempt.abandon();
			if (cancelled.connection != null) {
				cancelled.connection.cancel(cancelled.attempt);
			}
		}
	}

	/**
	 * Resumes reading the answer of an attempt whose caller accepts bytes again.
	 * @param attemptId the attempt
	 */
	public void resume(long attemptId) {
		ActiveAttempt resumed = this.activeAttempts.get(attemptId);
		if (resumed != null && resumed.connection != null) {
			resumed.attempt.setReadingPaused(false);
			resumed.connection.setReading(true);
		}
	}

	/**
	 * Removes an attempt that has ended.
	 * @param attemptId the attempt
	 */
	public void removeAttempt(long attemptId) {
		this.activeAttempts.remove(attemptId);
	}

	/**
	 * Closes the idle connections to an endpoint.
	 * @param endpoint the endpoint
	 */
	public void closeIdle(EndpointId endpoint) {
		Deque<EndpointConnection> connections = this.idleConnections.remove(endpoint);
		if (connections != null) {
			connections.forEach(EndpointConnection::close);
		}
	}

	/**
	 * Returns the number of connections opened since the start.
	 * @return the number of connections
	 */
	public long openedConnections() {
		return this.openedConnections;
	}

	void release(EndpointConnection connection, EndpointId endpoint) {
		Deque<EndpointConnection> connections = this.idleConnections.computeIfAbsent(endpoint,
				(id) -> new ArrayDeque<>());
		connection.setReading(true);
		connection.markIdle(this.clockMillis.getAsLong());
		connections.addLast(connection);
		if (connections.size() > MAX_IDLE_CONNECTIONS) {
			connections.removeFirst().close();
		}
	}

	void answeredIdle(EndpointId endpoint, long connection, int requests, Optional<HttpObject> message) {
		Optional<HttpResponse> head = message.filter((object) -> object.decoderResult().isSuccess())
			.filter(HttpResponse.class::isInstance)
			.map(HttpResponse.class::cast);
		this.listener.answerSkipped(new SkippedAnswer(endpoint, connection, requests, Optional.empty(),
				head.map((response) -> response.status().code()).orElse(0), head.flatMap(this.protocol::namedRequest),
				head.flatMap(this.protocol::receipt)));
	}

	void connectionClosed(EndpointConnection connection) {
		this.idleConnections.values().forEach((connections) -> connections.remove(connection));
	}

	private static final class ActiveAttempt {

		private final EndpointAttempt attempt;

		private EndpointConnection connection;

		ActiveAttempt(EndpointAttempt attempt) {
			this.attempt = attempt;
		}

	}

}
