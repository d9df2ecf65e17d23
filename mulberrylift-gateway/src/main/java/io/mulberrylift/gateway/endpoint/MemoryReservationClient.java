package io.mulberrylift.gateway.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.forwarding.GatewayEffect;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.gateway.http.CallResult;
import io.mulberrylift.gateway.http.NetAddress;
import io.mulberrylift.gateway.http.SequentialHttpClient;
import io.mulberrylift.gateway.logging.EventLog;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Sets engine memory aside and gives it back. Calls to one engine are made in order.
 *
 * <p>
 * Not safe for use by several threads; used on the event loop only.
 * </p>
 */
public final class MemoryReservationClient {

	/**
	 * Longest time for an engine's answer; calls that get none may be carried out later.
	 */
	private static final long TIMEOUT_MILLIS = 500;

	private static final int MAX_ANSWER_BYTES = 65536;

	private final EventLoopGroup group;

	private final EndpointProtocol protocol;

	private final EventLog log;

	private final Listener listener;

	private final Map<EndpointId, Queue> queues = new HashMap<>();

	/**
	 * Creates calls without connections.
	 * @param group the event loop
	 * @param protocol speaks to engines
	 * @param log takes a line per call
	 * @param listener takes the answers
	 */
	public MemoryReservationClient(EventLoopGroup group, EndpointProtocol protocol, EventLog log, Listener listener) {
		this.group = Objects.requireNonNull(group, "group");
		this.protocol = Objects.requireNonNull(protocol, "protocol");
		this.log = Objects.requireNonNull(log, "log");
		this.listener = Objects.requireNonNull(listener, "listener");
	}

	/**
	 * Sets memory aside or renews it.
	 * @param effect what is wanted
	 */
	public void reserve(GatewayEffect.ReserveMemory effect) {
		enqueue(effect.endpoint(), this.protocol.reserveMemory(effect), (result) -> {
			Optional<Boolean> granted = this.protocol.reservationGranted(result);
			this.log.write("memory-set-aside", "request", effect.requestId(), "endpoint", effect.endpoint().id(),
					"name", effect.reservationName(), "tokens", effect.tokens(), "status", result.status(), "problem",
					result.problem());
			this.listener.reservationAnswered(effect.requestId(), effect.endpoint().id(), granted);
		});
	}

	/**
	 * Gives memory back. Without an answer the engine takes it back by itself.
	 * @param effect what is wanted
	 */
	public void release(GatewayEffect.ReleaseMemory effect) {
		enqueue(effect.endpoint(), this.protocol.releaseMemory(effect),
				(result) -> this.log.write("memory-given-back", "endpoint", effect.endpoint().id(), "name",
						effect.reservationName(), "status", result.status(), "problem", result.problem()));
	}

	private void enqueue(ForwardEndpoint endpoint, EndpointCall call, Taker taker) {
		Queue queue = this.queues.computeIfAbsent(endpoint.id(), (id) -> new Queue(new SequentialHttpClient(this.group,
				new NetAddress(endpoint.host(), endpoint.port()), MAX_ANSWER_BYTES)));
		queue.waiting
			.addLast(() -> queue.client.call(HttpMethod.POST, call.target(), call.body(), TIMEOUT_MILLIS, (result) -> {
				queue.busy = false;
				taker.handle(result);
				startNext(endpoint.id(), queue);
			}));
		startNext(endpoint.id(), queue);
	}

	private void startNext(EndpointId endpoint, Queue queue) {
		if (queue.busy) {
			return;
		}
		if (queue.waiting.isEmpty()) {
			queue.client.close();
			this.queues.remove(endpoint, queue);
			return;
		}
		queue.busy = true;
		queue.waiting.removeFirst().run();
	}

	/**
	 * Takes the answers to requests for memory.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * An engine answered.
		 * @param requestId the request that needs the memory
		 * @param endpoint the engine
		 * @param granted whether the memory is set aside; empty when that is not known
		 */
		void reservationAnswered(long requestId, EndpointId endpoint, Optional<Boolean> granted);

	}

	@FunctionalInterface
	private interface Taker {

		void handle(CallResult result);

	}

	private static final class Queue {

		private final Deque<Runnable> waiting = new ArrayDeque<>();

		private final SequentialHttpClient client;

		private boolean busy;

		Queue(SequentialHttpClient caller) {
			this.client = caller;
		}

	}

}
