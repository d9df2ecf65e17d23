package io.mulberrylift.gateway.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.forwarding.GatewayEffect;
import io.mulberrylift.core.limit.EndpointNotices;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.gateway.http.CallResult;
import io.mulberrylift.gateway.http.NetAddress;
import io.mulberrylift.gateway.http.SequentialHttpClient;
import io.mulberrylift.gateway.logging.EventLog;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Reserves and releases engine memory. Calls to the same engine are made one at a time,
 * in order.
 *
 * <p>
 * Answers name no call, and an engine may answer twice. Memory is therefore reserved only
 * on connections that have carried no call before. The answer to a release decides
 * nothing, so that releases may follow other calls on their connection. The connection
 * for the next reservation is established while the call before it is answered.
 * </p>
 *
 * <p>
 * Not thread-safe; confined to the event loop.
 * </p>
 */
public final class MemoryReservationClient {

	/**
	 * Maximum time for an engine's answer. The engine may still execute a call after the
	 * timeout.
	 */
	private static final long TIMEOUT_MILLIS = 500;

	private static final int MAX_ANSWER_BYTES = 65536;

	private final EventLoopGroup group;

	private final EndpointProtocol protocol;

	private final EventLog log;

	private final Listener listener;

	private final Map<EndpointId, Queue> queues = new HashMap<>();

	/**
	 * Creates an instance without connections.
	 * @param group the event loop
	 * @param protocol encodes calls to engines and decodes their answers
	 * @param log receives an event for each call
	 * @param listener receives the results of reservations
	 */
	public MemoryReservationClient(EventLoopGroup group, EndpointProtocol protocol, EventLog log, Listener listener) {
		this.group = Objects.requireNonNull(group, "group");
		this.protocol = Objects.requireNonNull(protocol, "protocol");
		this.log = Objects.requireNonNull(log, "log");
		this.listener = Objects.requireNonNull(listener, "listener");
	}

	/**
	 * Reserves memory or renews a reservation.
	 * @param effect the reservation
	 */
	public void reserve(GatewayEffect.ReserveMemory effect) {
		enqueue(effect.endpoint(), this.protocol.reserveMemory(effect), true, (result) -> {
			Optional<Boolean> granted = this.protocol.reservationGranted(result);
			this.log.write("memory-reserved", "request", effect.requestId(), "endpoint", effect.endpoint().id(), "name",
					effect.reservationName(), "tokens", effect.tokens(), "status", result.status(), "problem",
					result.problem());
			this.listener.reservationAnswered(effect.requestId(), effect.endpoint().id(), granted);
		});
	}

	/**
	 * Releases reserved memory. If the call fails, the engine releases the memory when
	 * the reservation expires.
	 * @param effect the reservation
	 */
	public void release(GatewayEffect.ReleaseMemory effect) {
		enqueue(effect.endpoint(), this.protocol.releaseMemory(effect), false,
				(result) -> this.log.write("memory-released", "endpoint", effect.endpoint().id(), "name",
						effect.reservationName(), "status", result.status(), "problem", result.problem()));
	}

	private void enqueue(ForwardEndpoint endpoint, EndpointCall call, boolean answerDecides, ResultHandler handler) {
		Queue queue = this.queues.computeIfAbsent(endpoint.id(),
				(id) -> new Queue(() -> new SequentialHttpClient(this.group,
						new NetAddress(endpoint.host(), endpoint.port()), MAX_ANSWER_BYTES)));
		queue.waiting.addLast(new WaitingCall(answerDecides,
				() -> queue.client.call(HttpMethod.POST, call.target(), call.body(), TIMEOUT_MILLIS, (result) -> {
					queue.busy = false;
					if (result.isAnswered()) {
						this.listener.noticesReceived(endpoint.id(),
								this.protocol.notices(result.status(), result.headers()));
					}
					handler.handle(result);
					startNext(endpoint.id(), queue);
				})));
		startNext(endpoint.id(), queue);
	}

	private void startNext(EndpointId endpoint, Queue queue) {
		if (queue.busy) {
			queue.connectAhead();
			return;
		}
		if (queue.waiting.isEmpty()) {
			queue.client.close();
			this.queues.remove(endpoint, queue);
			return;
		}
		queue.busy = true;
		WaitingCall next = queue.waiting.removeFirst();
		if (next.answerDecides()) {
			queue.useUnusedConnection();
		}
		next.start().run();
		queue.connectAhead();
	}

	/**
	 * Receives the results of reservations.
	 */
	public interface Listener {

		/**
		 * Called when a call to reserve memory ended.
		 * @param requestId the request that needs the memory
		 * @param endpoint the engine
		 * @param granted whether the memory is reserved, empty if unknown
		 */
		void reservationAnswered(long requestId, EndpointId endpoint, Optional<Boolean> granted);

		/**
		 * Called when a call was answered.
		 * @param engine the engine
		 * @param notices what the answer says about the requests that the engine accepts;
		 * engines may name their limit in answers to requests only
		 */
		void noticesReceived(EndpointId engine, EndpointNotices notices);

	}

	@FunctionalInterface
	private interface ResultHandler {

		void handle(CallResult result);

	}

	/**
	 * A call that waits for those before it.
	 *
	 * @param answerDecides whether something depends on the answer, so that the call
	 * needs a connection that has carried no call
	 * @param start starts the call
	 */
	private record WaitingCall(boolean answerDecides, Runnable start) {
	}

	private static final class Queue {

		private final Deque<WaitingCall> waiting = new ArrayDeque<>();

		private final Supplier<SequentialHttpClient> clients;

		private SequentialHttpClient client;

		/** Connected for the next waiting call whose answer decides, or null. */
		private SequentialHttpClient nextClient;

		private boolean busy;

		Queue(Supplier<SequentialHttpClient> clients) {
			this.clients = clients;
			this.client = clients.get();
		}

		void useUnusedConnection() {
			if (this.nextClient != null) {
				this.client.close();
				this.client = this.nextClient;
				this.nextClient = null;
			}
			else if (this.client.hasCarriedCall()) {
				this.client.close();
			}
		}

		void connectAhead() {
			if (this.nextClient == null && this.waiting.stream().anyMatch(WaitingCall::answerDecides)) {
				this.nextClient = this.clients.get();
				this.nextClient.connect();
			}
		}

	}

}
