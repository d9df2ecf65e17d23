package io.mulberrylift.core.model;

import java.util.Objects;
import java.util.Set;

/**
 * An endpoint as published in the instance list.
 *
 * @param id the endpoint
 * @param kind the kind of work it runs
 * @param zone its availability zone
 * @param address host and port on which it listens
 * @param targets names of the models it can serve, or of the one plain service it runs
 * @param memoryTokens capacity of its KV cache in tokens, 0 for plain services
 * @param checksFencing whether it refuses orders with an outdated fencing number
 * @param leaving whether the platform is about to remove it
 */
public record EndpointDescription(EndpointId id, WorkKind kind, ZoneId zone, String address, Set<String> targets,
		long memoryTokens, boolean checksFencing, boolean leaving) {

	/**
	 * Creates the description.
	 * @throws NullPointerException if a reference is null
	 */
	public EndpointDescription {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(address, "address");
		targets = Set.copyOf(targets);
	}

}
