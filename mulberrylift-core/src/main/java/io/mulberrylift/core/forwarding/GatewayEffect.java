package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.model.EndpointId;

/**
 * Everything that the gateway's reducer asks for, as data.
 */
public sealed interface GatewayEffect {

	/**
	 * Send a request to an endpoint.
	 *
	 * @param requestId the request
	 * @param attemptId number of the attempt
	 * @param endpoint where it goes
	 * @param helpers addresses of endpoints that read parts of its prompt, each with a
	 * name of memory set aside there if it has one
	 * @param timeLeftMillis time that the endpoint gets
	 * @param rank order at the endpoint, 0 first
	 * @param kind what may be repeated and how the answer arrives
	 * @param workspace workspace of the key
	 */
	record Send(long requestId, long attemptId, ForwardEndpoint endpoint, List<Helper> helpers, long timeLeftMillis,
			int rank, RequestKind kind, Optional<String> workspace) implements GatewayEffect {
	}

	/**
	 * An endpoint that takes part in reading a prompt.
	 *
	 * @param endpoint the endpoint
	 * @param reservationName name of memory set aside there, empty for none
	 */
	record Helper(ForwardEndpoint endpoint, Optional<String> reservationName) {
	}

	/**
	 * End an attempt: the endpoint should stop its work.
	 *
	 * @param attemptId the attempt
	 */
	record CancelAttempt(long attemptId) implements GatewayEffect {
	}

	/**
	 * Pass on the answer that the last attempt brought.
	 *
	 * @param requestId the request
	 */
	record Deliver(long requestId) implements GatewayEffect {
	}

	/**
	 * Give an answer that no endpoint gave.
	 *
	 * @param requestId the request
	 * @param cause why
	 * @param retryAfterMillis when asking again can help
	 */
	record Refuse(long requestId, RefusalCause cause, Optional<Long> retryAfterMillis) implements GatewayEffect {
	}

	/**
	 * End an answer that has begun, so that it is visibly incomplete.
	 *
	 * @param requestId the request
	 */
	record AbortAnswer(long requestId) implements GatewayEffect {
	}

	/**
	 * Set memory aside at an engine, or renew what was set aside.
	 *
	 * @param requestId the request that needs the memory
	 * @param endpoint the engine
	 * @param reservationName name of the memory
	 * @param tokens size
	 * @param holdMillis how long it is kept without renewal
	 */
	record ReserveMemory(long requestId, ForwardEndpoint endpoint, String reservationName, long tokens,
			long holdMillis) implements GatewayEffect {
	}

	/**
	 * Give memory back.
	 *
	 * @param endpoint the engine
	 * @param reservationName name of the memory
	 */
	record ReleaseMemory(ForwardEndpoint endpoint, String reservationName) implements GatewayEffect {
	}

	/**
	 * Write a log line.
	 *
	 * @param event what happened
	 * @param fields names and values in turn
	 */
	record Log(String event, List<Object> fields) implements GatewayEffect {
	}

	/**
	 * An endpoint that left or failed: connections to it are of no more use.
	 *
	 * @param endpoint the endpoint
	 */
	record DiscardConnections(EndpointId endpoint) implements GatewayEffect {
	}

}
