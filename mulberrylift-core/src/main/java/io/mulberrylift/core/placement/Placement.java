package io.mulberrylift.core.placement;

import java.util.List;
import java.util.Objects;

import io.mulberrylift.core.forwarding.ForwardEndpoint;

/**
 * Where a request goes.
 *
 * @param endpoint the endpoint that gets the request
 * @param helpers further endpoints that read parts of its prompt
 * @param partPrefillMillis reading time of each part
 * @param expectedFirstTokenMillis time until the first token, from now
 * @param cost predicted loss that decided
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
	 * Returns the number of endpoints that read.
	 * @return the helpers and the endpoint itself
	 */
	public int parts() {
		return this.helpers.size() + 1;
	}

}
