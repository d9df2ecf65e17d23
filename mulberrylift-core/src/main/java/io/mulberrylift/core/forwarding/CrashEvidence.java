package io.mulberrylift.core.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

import io.mulberrylift.core.gossip.CrashObservation;
import io.mulberrylift.core.gossip.RequestAttribute;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.WorkTable;

/**
 * Evidence from the ends of attempts and from peers on which attributes of requests crash
 * endpoints.
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
	 * @param effects receives a log line if the request is isolated
	 * @return false if it is isolated and must not be tried now
	 */
	boolean mayStart(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		List<RequestAttribute> isolated = this.suspects.isolated(state.attributes, nowMillis);
		boolean mayStart = this.suspects.mayStart(state.attributes, nowMillis);
		if (!isolated.isEmpty()) {
			log(effects, (mayStart) ? "isolated-request-tried" : "isolated-request-refused", "request", state.requestId,
					"attributes", losses(isolated));
		}
		return mayStart;
	}

	/**
	 * Returns whether a request must not be sent to another endpoint, because it is
	 * likely to crash that one as well.
	 * @param state the request
	 * @param nowMillis the current time
	 * @return true if it has an attribute that is isolated or under suspicion
	 */
	boolean isSuspected(ForwardState state, long nowMillis) {
		return state.attributes.stream().anyMatch((attribute) -> this.suspects.isSuspected(attribute, nowMillis));
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
	 * Records the end of an attempt: the loss of its endpoint counts against the
	 * attributes of the request, a complete answer clears them. An answer that ended with
	 * its connection does neither, since it ends in the same way if its endpoint crashes.
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
		else if (event.outcome() == AttemptOutcome.COMPLETED && event.status() < FIRST_UNSUCCESSFUL_STATUS) {
			recordAnswer(state, nowMillis, effects);
		}
	}

	private void recordLoss(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		EndpointId endpoint = state.placement.endpoint().id();
		state.attributes.forEach((attribute) -> this.suspects.recordLoss(attribute, WorkTable.hash(endpoint),
				state.sentMillis, nowMillis));
		log(effects, "endpoint-lost", "request", state.requestId, "endpoint", endpoint, "attributes",
				losses(state.attributes), "isolated", this.suspects.isolated(state.attributes, nowMillis).toString());
	}

	/**
	 * Returns the numbers of losses of attributes for a log line.
	 * @param attributes the attributes
	 * @return attributes with losses
	 */
	private String losses(List<RequestAttribute> attributes) {
		return attributes.stream()
			.filter((attribute) -> this.suspects.lossCount(attribute) > 0)
			.map((attribute) -> attribute + "=" + this.suspects.lossCount(attribute))
			.collect(Collectors.joining(" "));
	}

	private void recordAnswer(ForwardState state, long nowMillis, List<GatewayEffect> effects) {
		for (RequestAttribute attribute : state.attributes) {
			int cleared = this.suspects.recordAnswer(attribute, nowMillis);
			if (cleared >= CrashCulprits.SUSPICION_THRESHOLD) {
				log(effects, "suspicion-cleared", "request", state.requestId, "attribute", attribute, "losses-before",
						cleared);
			}
		}
	}

	/**
	 * Records an observation of a peer.
	 * @param observation the observation
	 * @param sender address of the peer
	 * @param relay whether to publish the losses of the attribute promptly if there are
	 * several
	 * @param nowMillis the current time
	 * @param effects receives a log line if the attribute is under suspicion
	 */
	void reported(CrashObservation observation, String sender, boolean relay, long nowMillis,
			List<GatewayEffect> effects) {
		RequestAttribute attribute = observation.attribute();
		int lossesBefore = this.suspects.lossCount(attribute);
		if (!this.suspects.recordReported(observation, relay, nowMillis)) {
			return;
		}
		int losses = this.suspects.lossCount(attribute);
		if (Math.max(losses, lossesBefore) >= CrashCulprits.SUSPICION_THRESHOLD) {
			String event = (observation.lostEndpointHash().isPresent()) ? "endpoint-loss-reported"
					: "suspicion-clearing-reported";
			log(effects, event, "peer", sender, "age-millis", observation.ageMillis(), "attribute", attribute, "losses",
					losses, "losses-before", lossesBefore, "isolated", this.suspects.isIsolated(attribute, nowMillis));
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
