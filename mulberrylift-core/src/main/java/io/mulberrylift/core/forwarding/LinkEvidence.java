package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Objects;

import io.mulberrylift.core.model.EndpointId;

/**
 * Evidence from attempts and connections on whether this instance reaches the endpoints.
 *
 * <p>
 * Not thread-safe; owned by the reducer.
 * </p>
 */
final class LinkEvidence {

	private final EndpointLinks links;

	private final EndpointTable endpoints;

	LinkEvidence(EndpointLinks links, EndpointTable endpoints) {
		this.links = Objects.requireNonNull(links, "links");
		this.endpoints = Objects.requireNonNull(endpoints, "endpoints");
	}

	/**
	 * Records that bytes were received from an endpoint.
	 * @param service service of the endpoint
	 * @param nowMillis the current time
	 * @param effects receives the effects if the link was cut
	 */
	void answerReceived(String service, long nowMillis, List<GatewayEffect> effects) {
		if (this.links.recordAnswer(service, nowMillis)) {
			regained(service, "answer", effects);
		}
	}

	/**
	 * Records that a connection to an endpoint was established.
	 * @param service service of the endpoint
	 * @param effects receives the effects if the link was cut
	 */
	void connected(String service, List<GatewayEffect> effects) {
		if (this.links.recordConnected(service)) {
			regained(service, "connection", effects);
		}
	}

	private static void regained(String service, String source, List<GatewayEffect> effects) {
		effects.add(new GatewayEffect.Log("endpoints-reached-again", List.of("service", service, "source", source)));
		effects.add(new GatewayEffect.PublishState());
	}

	/**
	 * Records the end of an attempt.
	 * @param state the request
	 * @param event end of the attempt
	 * @param nowMillis the current time
	 * @param effects receives the effects if the link is cut or was cut
	 * @return whether the link is the likely cause of the end of a connection
	 */
	boolean attemptEnded(ForwardState state, GatewayEvent.AttemptEnded event, long nowMillis,
			List<GatewayEffect> effects) {
		AttemptOutcome outcome = event.outcome();
		EndpointId endpoint = state.placement.endpoint().id();
		if (!outcome.isUnanswered()) {
			// A request that exceeds a limit is rejected before it is sent.
			if (outcome != AttemptOutcome.REJECTED || event.status() > 0) {
				answerReceived(state.service, nowMillis, effects);
			}
			return false;
		}
		endpointSilent(state, outcome != AttemptOutcome.NOT_CONNECTED, nowMillis, effects);
		return outcome.mayHaveCrashedEndpoint() && this.links.recordBroken(endpoint, state.sentMillis, nowMillis);
	}

	/**
	 * Records that the endpoint of an attempt does not answer.
	 * @param state the request
	 * @param connected whether a connection was established
	 * @param nowMillis the current time
	 * @param effects receives the effects if the link counts as cut from now on
	 */
	void endpointSilent(ForwardState state, boolean connected, long nowMillis, List<GatewayEffect> effects) {
		EndpointId endpoint = state.placement.endpoint().id();
		if (!this.links.recordSilence(state.service, endpoint, connected, nowMillis)) {
			return;
		}
		effects.add(new GatewayEffect.Log("endpoints-unreachable", List.of("service", state.service, "any-service",
				this.links.isCut(), "last-endpoint", endpoint, "connected", connected)));
		if (this.links.areConnectionsSilent(state.service)) {
			this.endpoints.available(state.service)
				.forEach((each) -> effects.add(new GatewayEffect.DiscardConnections(each.id())));
		}
		effects.add(new GatewayEffect.PublishState());
	}

}
