package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.stream.Collectors;

import io.mulberrylift.core.cost.CompletionEstimate;
import io.mulberrylift.core.placement.Placement;

/**
 * The log line of an attempt that is sent to an endpoint. Stateless and thread-safe.
 */
final class SentLog {

	/** Value of times in a line if there is no estimate. */
	private static final long NONE = -1;

	private SentLog() {
	}

	/**
	 * Creates the line.
	 * @param state the request, with the attempt in progress
	 * @param listedHelpers number of helpers that are named to the endpoint
	 * @param room how the engines are divided, empty if they are not
	 * @param nowMillis the current time
	 * @return the line
	 */
	static GatewayEffect.Log line(ForwardState state, int listedHelpers, String room, long nowMillis) {
		Placement placement = state.placement;
		return new GatewayEffect.Log("sent",
				List.of("request", state.requestId, "caller-attempt", state.request.attemptId(), "route",
						state.route.name(), "fingerprint", Long.toHexString(state.request.fingerprint()),
						"prompt-parts", promptParts(state), "attempt", state.attemptId, "endpoint",
						placement.endpoint().id(), "parts", placement.parts(), "listed-helpers", listedHelpers,
						"helpers",
						placement.helpers().stream().map((each) -> each.id().value()).collect(Collectors.joining(" ")),
						"prompt", state.request.promptTokens(), "expected-first-token-millis",
						(long) placement.expectedFirstTokenMillis(), "cost", Math.round(placement.cost() * 100) / 100.0,
						"expected-millis", state.estimate.map((each) -> (long) each.totalMillis()).orElse(NONE),
						"expected-wait-millis", state.estimate.map((each) -> (long) each.waitMillis()).orElse(NONE),
						"observations", state.estimate.map(CompletionEstimate::observations).orElse(NONE),
						"observation-age-millis", state.estimate.map(CompletionEstimate::ageMillis).orElse(NONE),
						"pace", state.estimate.map((each) -> Math.round(each.paceFactor() * 100) / 100.0).orElse(1.0),
						"remaining-millis", state.timeLeftMillis(nowMillis), "room", room));
	}

	/**
	 * Returns the hashes of the parts of a prompt, for log lines.
	 * @param state the request
	 * @return the hashes in hexadecimal notation, separated by spaces
	 */
	static String promptParts(ForwardState state) {
		return state.request.promptParts().stream().map(Long::toHexString).collect(Collectors.joining(" "));
	}

}
