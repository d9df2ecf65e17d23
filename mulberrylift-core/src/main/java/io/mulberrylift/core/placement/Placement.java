package io.mulberrylift.core.placement;

import java.util.List;
import java.util.Objects;

import io.mulberrylift.core.forwarding.ForwardEndpoint;

/**
 * Placement of a request on one or more endpoints.
 *
 * @param endpoint endpoint that the request is sent to
 * @param helpers endpoints that prefill the other parts of its prompt
 * @param partPrefillMillis prefill time of each part in milliseconds
 * @param expectedFirstTokenMillis expected time from now until the first token, in
 * milliseconds
 * @param cost predicted cost that the choice was based on
 */
public record Placement(ForwardEndpoint endpoint, List<ForwardEndpoint> helpers, double partPrefillMillis,
		double expectedFirstTokenMillis, double cost) {

	/**
	 * Creates the placement.
	 */
	public Placement {
		Objects.requireNonNull(endpoint, "endpoint");
		helpers = List.copyOf(helpers);
	}

	/**
	 * Returns the number of parts of the prompt.
	 * @return the number of helpers plus one
	 */
	public int parts() {
		return this.helpers.size() + 1;
	}

}
