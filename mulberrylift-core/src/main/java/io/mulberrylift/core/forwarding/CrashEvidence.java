package io.mulberrylift.core.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.mulberrylift.core.gossip.CrashObservation;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.WorkTable;

/**
 * Evidence from the ends of attempts and from peers on which requests crash endpoints.
 *
 * <p>
 * Not thread-safe; owned by the reducer.
 * </p>
 */
final class CrashEvidence {

	private static final int FIRST_UNSUCCESSFUL_STATUS = 300;

	private final CrashSuspects suspects;

	/** Attempts that continue although their callers have disconnected. */
	private final Map<Long, ForwardState> abandonedAttempts = new HashMap<>();

	CrashEvidence(CrashSuspects suspects) {
		this.suspects = Objects.requireNonNull(suspects, "suspects");
	}

	/**
	 * Returns whether a request that has just arrived may be sent to an endpoint.
	 * @param state the request
	 * @param nowMillis the current time
	 * @param effects receives a log line if an isolated request is tried again
	 * @return false if it is isolated and must not be tried now
	 */
	boolean mayStart(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		boolean mayStart = this.suspects.mayStart(state.request.fingerprint(), nowMillis);
		if (mayStart && isIsolated(state)) {
			log(effects, "isolated-request-tried", "request", state.requestId, "fingerprint",
					Long.toHexString(state.request.fingerprint()));
		}
		return mayStart;
	}

	boolean isIsolated(ForwardState state) {
		return this.suspects.isIsolated(state.request.fingerprint());
	}

	/**
	 * Remembers an attempt that continues although its caller has disconnected.
	 * @param state the request with its attempt in progress
	 */
	void attemptAbandoned(ForwardState state) {
		this.abandonedAttempts.put(state.attemptId, state);
	}

	/**
	 * Records the end of an attempt whose caller has disconnected.
	 * @param event end of any attempt
	 * @param nowMillis the current time
	 * @param effects receives the log line
	 */
	void abandonedAttemptEnded(GatewayEvent.AttemptEnded event, long nowMillis, List<GatewayEffect> effects) {
		ForwardState abandoned = this.abandonedAttempts.remove(event.attemptId());
		if (abandoned != null) {
			attemptEnded(abandoned, event, nowMillis, effects);
		}
	}

	/**
	 * Records the end of an attempt: the loss of its endpoint counts against the request,
	 * a complete answer clears it.
	 * @param state the request
	 * @param event end of the attempt
	 * @param nowMillis the current time
	 * @param effects receives the log line
	 */
	void attemptEnded(ForwardState state, GatewayEvent.AttemptEnded event, long nowMillis,
			List<GatewayEffect> effects) {
		if (event.outcome().mayHaveCrashedEndpoint()) {
			recordLoss(state, nowMillis, effects);
		}
		else if (event.outcome().isCompleted() && event.status() < FIRST_UNSUCCESSFUL_STATUS) {
			recordAnswer(state, nowMillis, effects);
		}
	}

	private void recordLoss(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		EndpointId endpoint = state.placement.endpoint().id();
		long fingerprint = state.request.fingerprint();
		this.suspects.recordLoss(fingerprint, WorkTable.hash(endpoint), state.sentMillis, nowMillis);
		log(effects, "endpoint-lost", "request", state.requestId, "fingerprint", Long.toHexString(fingerprint),
				"endpoint", endpoint, "losses", this.suspects.lossCount(fingerprint), "isolated",
				this.suspects.isIsolated(fingerprint));
	}

	private void recordAnswer(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		long fingerprint = state.request.fingerprint();
		int cleared = this.suspects.recordAnswer(fingerprint, nowMillis);
		if (cleared > 0) {
			log(effects, "suspicion-cleared", "request", state.requestId, "fingerprint", Long.toHexString(fingerprint),
					"losses-before", cleared);
		}
	}

	/**
	 * Records an observation of a peer.
	 * @param observation the observation
	 * @param sender address of the peer
	 * @param relay whether to publish the losses of the request promptly if there are
	 * several
	 * @param nowMillis the current time
	 * @param effects receives the log line
	 */
	void reported(CrashObservation observation, String sender, boolean relay, long nowMillis,
			List<GatewayEffect> effects) {
		long fingerprint = observation.fingerprint();
		boolean isolatedBefore = this.suspects.isIsolated(fingerprint);
		if (this.suspects.recordReported(observation, relay, nowMillis)) {
			String event = (observation.lostEndpointHash().isPresent()) ? "endpoint-loss-reported"
					: "suspicion-clearing-reported";
			log(effects, event, "peer", sender, "age-millis", observation.ageMillis(), "fingerprint",
					Long.toHexString(fingerprint), "losses", this.suspects.lossCount(fingerprint), "isolated",
					this.suspects.isIsolated(fingerprint), "isolated-before", isolatedBefore);
		}
	}

	void tick(long nowMillis) {
		this.abandonedAttempts.values().removeIf((state) -> nowMillis >= state.deadlineMillis);
		this.suspects.tick(nowMillis);
	}

	private static void log(List<GatewayEffect> effects, String event, Object... fields) {
		effects.add(new GatewayEffect.Log(event, List.of(fields)));
	}

}
