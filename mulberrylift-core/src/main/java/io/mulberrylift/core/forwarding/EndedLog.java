package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.List;

/**
 * The log line of an attempt that has ended. Stateless and thread-safe.
 */
final class EndedLog {

	private EndedLog() {
	}

	/**
	 * Creates the line of an attempt at an endpoint or at a peer.
	 * @param state the request, with the attempt that has ended
	 * @param event how it ended
	 * @param nowMillis the current time
	 * @return the line
	 */
	static GatewayEffect.Log line(ForwardState state, GatewayEvent.AttemptEnded event, long nowMillis) {
		boolean relayed = state.relayPeer.isPresent();
		List<Object> fields = new ArrayList<>(List.of("request", state.requestId, "attempt", event.attemptId()));
		fields.addAll((relayed) ? List.of("peer", state.relayPeer.get())
				: List.of("endpoint", state.placement.endpoint().id()));
		fields.addAll(
				List.of("outcome", event.outcome(), "status", event.status(), "millis", nowMillis - state.sentMillis));
		if (!relayed) {
			long firstChunkMillis = (state.attemptStarted) ? state.firstChunkMillis - state.sentMillis : -1;
			fields.addAll(List.of("expected-first-token-millis", (long) state.placement.expectedFirstTokenMillis(),
					"first-chunk-millis", firstChunkMillis));
		}
		AnswerOrigin origin = event.origin();
		fields.addAll(List.of("longest-gap-millis", state.longestGapMillis, "connection", origin.connection(),
				"request-on-connection", origin.requestOnConnection(), "answers-skipped", origin.skippedAnswers(),
				"receipt", origin.receipt()));
		return new GatewayEffect.Log((relayed) ? "relay-ended" : "attempt-ended", List.copyOf(fields));
	}

}
