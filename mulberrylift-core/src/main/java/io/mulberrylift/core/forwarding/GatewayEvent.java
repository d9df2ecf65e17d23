package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.gossip.InstanceDigest;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.ObservedLoad;

/**
 * Everything that the gateway's reducer takes.
 */
public sealed interface GatewayEvent {

	/**
	 * A whole request has been read.
	 *
	 * @param requestId number of the request in this process
	 * @param request the request
	 */
	record RequestArrived(long requestId, ForwardRequest request) implements GatewayEvent {
	}

	/**
	 * The caller closed its connection.
	 *
	 * @param requestId the request
	 */
	record CallerDisconnected(long requestId) implements GatewayEvent {
	}

	/**
	 * A part of the answer arrived from the endpoint and is passed on.
	 *
	 * @param attemptId the attempt
	 */
	record AnswerChunk(long attemptId) implements GatewayEvent {
	}

	/**
	 * An attempt ended.
	 *
	 * @param attemptId the attempt
	 * @param outcome how it ended
	 */
	record AttemptEnded(long attemptId, AttemptOutcome outcome) implements GatewayEvent {
	}

	/**
	 * An endpoint stated its load in an answer.
	 *
	 * @param endpoint the endpoint
	 * @param load its load
	 */
	record LoadObserved(EndpointId endpoint, ObservedLoad load) implements GatewayEvent {
	}

	/**
	 * A configuration was read.
	 *
	 * @param configuration the configuration
	 */
	record ConfigurationRead(ForwardingConfiguration configuration) implements GatewayEvent {
	}

	/**
	 * The list of endpoints was read or has changed.
	 *
	 * @param endpoints all listed endpoints
	 */
	record EndpointsRead(List<ForwardEndpoint> endpoints) implements GatewayEvent {
	}

	/**
	 * A peer reported its work and beliefs.
	 *
	 * @param digest the report
	 */
	record DigestReceived(InstanceDigest digest) implements GatewayEvent {
	}

	/**
	 * An engine answered a request to set memory aside.
	 *
	 * @param requestId the request that needs the memory
	 * @param endpoint the engine
	 * @param granted whether the memory is set aside; empty when no answer came
	 */
	record ReservationAnswered(long requestId, EndpointId endpoint, Optional<Boolean> granted) implements GatewayEvent {
	}

	/**
	 * An endpoint named another one as the cause of its refusal.
	 *
	 * @param endpointName identity or address of the named endpoint
	 */
	record EndpointFaultReported(String endpointName) implements GatewayEvent {
	}

	/**
	 * Settings were read again.
	 *
	 * @param identity the limits that apply from now on; name and zone stay the same
	 */
	record LimitsRead(GatewayIdentity identity) implements GatewayEvent {

		/**
		 * Creates the event.
		 */
		public LimitsRead {
			Objects.requireNonNull(identity, "identity");
		}

	}

	/** Time has passed. */
	record Tick() implements GatewayEvent {
	}

	/** The process was asked to end. */
	record ShutdownRequested() implements GatewayEvent {
	}

}
