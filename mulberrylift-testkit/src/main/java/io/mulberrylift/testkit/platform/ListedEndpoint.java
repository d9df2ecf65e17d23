package io.mulberrylift.testkit.platform;

import java.util.Objects;
import java.util.Set;

import io.mulberrylift.core.model.WorkKind;

/**
 * Endpoint in the list that the platform publishes.
 *
 * <p>
 * Immutable and thread-safe.
 * </p>
 *
 * @param id the endpoint id
 * @param kind the kind of work it runs
 * @param zone its availability zone
 * @param address the address as {@code host:port}
 * @param targets the models or the service that it serves
 * @param memoryTokens KV memory in tokens, 0 for services
 * @param checksFencing whether it checks the fencing numbers of orders
 * @param leaving whether it is about to be removed
 */
public record ListedEndpoint(String id, WorkKind kind, String zone, String address, Set<String> targets,
		long memoryTokens, boolean checksFencing, boolean leaving) {

	/**
	 * Creates the endpoint.
	 * @throws NullPointerException if an object argument is null
	 */
	public ListedEndpoint {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(address, "address");
		targets = Set.copyOf(targets);
	}

	ListedEndpoint withLeaving(boolean leaves) {
		return new ListedEndpoint(this.id, this.kind, this.zone, this.address, this.targets, this.memoryTokens,
				this.checksFencing, leaves);
	}

}
