package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.model.EndpointId;

/**
 * Effects that the gateway's reducer requests, as data.
 */
public sealed interface GatewayEffect {

	/**
	 * Sends a request to an endpoint.
	 *
	 * @param requestId the request
	 * @param attemptId identifier of the attempt
	 * @param endpoint endpoint that the request is sent to
	 * @param helpers endpoints that prefill parts of its prompt, each with its memory
	 * reservation if there is one
	 * @param timeLeftMillis time left for the endpoint to answer
	 * @param rank priority at the endpoint; the lowest rank is processed first
	 * @param kind whether the request may be repeated and how its answer is delivered
	 * @param workspace workspace of the API key, if any
	 */
	record Send(long requestId, long attemptId, ForwardEndpoint endpoint, List<Helper> helpers, long timeLeftMillis,
			int rank, RequestKind kind, Optional<String> workspace) implements GatewayEffect {
	}

	/**
	 * Hands a request to a peer, which sends it to an endpoint.
	 *
	 * @param requestId the request
	 * @param attemptId identifier of the attempt
	 * @param peer address of the peer
	 * @param timeLeftMillis time left for the answer
	 * @param terms terms for the peer
	 * @param kind whether the request may be repeated and how its answer is delivered
	 */
	record Relay(long requestId, long attemptId, String peer, long timeLeftMillis, RelayTerms terms,
			RequestKind kind) implements GatewayEffect {
	}

	/**
	 * Tries to establish a connection to an endpoint, without a request.
	 *
	 * @param endpoint the endpoint
	 */
	record ProbeEndpoint(ForwardEndpoint endpoint) implements GatewayEffect {
	}

	/**
	 * An endpoint that prefills a part of a prompt.
	 *
	 * @param endpoint the endpoint
	 * @param reservationName name of the memory reservation there, empty for none
	 */
	record Helper(ForwardEndpoint endpoint, Optional<String> reservationName) {
	}

	/**
	 * Cancels an attempt, so that the endpoint stops working on it.
	 *
	 * @param attemptId the attempt
	 */
	record CancelAttempt(long attemptId) implements GatewayEffect {
	}

	/**
	 * Delivers the answer of the last attempt to the caller.
	 *
	 * @param requestId the request
	 */
	record Deliver(long requestId) implements GatewayEffect {
	}

	/**
	 * Answers a request with a refusal that no endpoint sent.
	 *
	 * @param requestId the request
	 * @param cause cause of the refusal
	 * @param retryAfterMillis time after which the caller may retry, empty if a retry
	 * cannot help
	 */
	record Refuse(long requestId, RefusalCause cause, Optional<Long> retryAfterMillis) implements GatewayEffect {
	}

	/**
	 * Aborts an answer that has already started, such that the caller can detect that it
	 * is incomplete.
	 *
	 * @param requestId the request
	 */
	record AbortAnswer(long requestId) implements GatewayEffect {
	}

	/**
	 * Reserves memory on an engine, or renews an existing reservation.
	 *
	 * @param requestId the request that needs the memory
	 * @param endpoint the engine
	 * @param reservationName name of the reservation
	 * @param tokens size in tokens
	 * @param holdMillis time after which the reservation expires unless it is renewed
	 */
	record ReserveMemory(long requestId, ForwardEndpoint endpoint, String reservationName, long tokens,
			long holdMillis) implements GatewayEffect {
	}

	/**
	 * Releases reserved memory.
	 *
	 * @param endpoint the engine
	 * @param reservationName name of the reservation
	 */
	record ReleaseMemory(ForwardEndpoint endpoint, String reservationName) implements GatewayEffect {
	}

	/**
	 * Writes a log line.
	 *
	 * @param event name of the event
	 * @param fields alternating names and values
	 */
	record Log(String event, List<Object> fields) implements GatewayEffect {
	}

	/**
	 * Publishes the full state of this instance to its peers as soon as possible.
	 */
	record PublishState() implements GatewayEffect {
	}

	/**
	 * Discards the connections to an endpoint that is leaving or no longer listed.
	 *
	 * @param endpoint the endpoint
	 */
	record DiscardConnections(EndpointId endpoint) implements GatewayEffect {
	}

}
