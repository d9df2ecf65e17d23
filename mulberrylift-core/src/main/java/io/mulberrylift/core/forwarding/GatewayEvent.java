package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.gossip.CrashObservation;
import io.mulberrylift.core.gossip.EvacuationKnowledge;
import io.mulberrylift.core.gossip.InstanceDigest;
import io.mulberrylift.core.limit.EndpointNotices;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.ObservedLoad;

/**
 * Events that the gateway's reducer processes.
 */
public sealed interface GatewayEvent {

	/**
	 * A complete request was received.
	 *
	 * @param requestId identifier of the request in this process
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
	 * A chunk of an answer was received from an endpoint and is passed on to the caller.
	 *
	 * @param attemptId the attempt
	 */
	record AnswerChunk(long attemptId) implements GatewayEvent {
	}

	/**
	 * The stream of an attempt isn't read any more, since its caller reads slowly, or is
	 * read again.
	 *
	 * @param attemptId the attempt
	 * @param paused whether reading is paused from now on
	 */
	record ReadingPaused(long attemptId, boolean paused) implements GatewayEvent {
	}

	/**
	 * An attempt ended.
	 *
	 * @param attemptId the attempt
	 * @param outcome outcome of the attempt
	 * @param status status code of the endpoint's answer, 0 if none was received
	 * @param origin where the answer was read
	 */
	record AttemptEnded(long attemptId, AttemptOutcome outcome, int status,
			AnswerOrigin origin) implements GatewayEvent {

		/**
		 * Creates the end of an attempt whose answer was read nowhere.
		 * @param attemptId the attempt
		 * @param outcome outcome of the attempt
		 * @param status status code of the endpoint's answer, 0 if none was received
		 */
		public AttemptEnded(long attemptId, AttemptOutcome outcome, int status) {
			this(attemptId, outcome, status, AnswerOrigin.NONE);
		}

	}

	/**
	 * A connection to an endpoint was established.
	 *
	 * @param endpoint the endpoint
	 */
	record ConnectionEstablished(EndpointId endpoint) implements GatewayEvent {
	}

	/**
	 * An endpoint reported its load in an answer.
	 *
	 * @param endpoint the endpoint
	 * @param load its load
	 */
	record LoadObserved(EndpointId endpoint, ObservedLoad load) implements GatewayEvent {
	}

	/**
	 * An answer was received from an endpoint, with what it says about the requests that
	 * the endpoint accepts.
	 *
	 * @param endpoint the endpoint
	 * @param attemptId attempt that was answered, 0 for a control call
	 * @param notices what the answer says; that of a control call cannot raise a limit
	 */
	record NoticesReceived(EndpointId endpoint, long attemptId, EndpointNotices notices) implements GatewayEvent {
	}

	/**
	 * A configuration was read.
	 *
	 * @param configuration the configuration
	 */
	record ConfigurationRead(ForwardingConfiguration configuration) implements GatewayEvent {
	}

	/**
	 * The list of endpoints was read for the first time or has changed.
	 *
	 * @param endpoints all listed endpoints
	 */
	record EndpointsRead(List<ForwardEndpoint> endpoints) implements GatewayEvent {
	}

	/**
	 * A digest was received from a peer.
	 *
	 * @param digest the digest
	 */
	record DigestReceived(InstanceDigest digest) implements GatewayEvent {
	}

	/**
	 * A peer reported requests that may have crashed endpoints.
	 *
	 * @param sender address of the peer
	 * @param crashes the observations, repeated and reordered ones included
	 */
	record CrashesReported(String sender, List<CrashObservation> crashes) implements GatewayEvent {
	}

	/**
	 * An engine answered a request to reserve memory, or did not answer in time.
	 *
	 * @param requestId the request that needs the memory
	 * @param endpoint the engine
	 * @param granted whether the memory is reserved; empty if there was no answer
	 */
	record ReservationAnswered(long requestId, EndpointId endpoint, Optional<Boolean> granted) implements GatewayEvent {
	}

	/**
	 * An endpoint reported another one as the cause of its refusal.
	 *
	 * @param endpointName identity or address of the reported endpoint
	 */
	record EndpointFaultReported(String endpointName) implements GatewayEvent {
	}

	/**
	 * The settings were reloaded.
	 *
	 * @param identity the identity with the new limits; the name and the zone do not
	 * change
	 */
	record LimitsRead(GatewayIdentity identity) implements GatewayEvent {

		/**
		 * Creates the event.
		 */
		public LimitsRead {
			Objects.requireNonNull(identity, "identity");
		}

	}

	/**
	 * The requests of operators to evacuate availability zones were read from the
	 * platform.
	 *
	 * @param knowledge the evacuated zones
	 */
	record EvacuationsRead(EvacuationKnowledge knowledge) implements GatewayEvent {
	}

	/** Periodic event for time-dependent work. */
	record Tick() implements GatewayEvent {
	}

	/**
	 * A shutdown of the process was requested.
	 *
	 * @param timeoutMillis time within which all requests must have ended
	 */
	record ShutdownRequested(long timeoutMillis) implements GatewayEvent {
	}

}
