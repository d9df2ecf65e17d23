package io.mulberrylift.testkit.platform;

import java.util.Objects;
import java.util.Set;

import io.mulberrylift.core.model.WorkKind;

/**
 * An endpoint as the platform lists it.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param id the endpoint
 * @param kind the kind of work it runs
 * @param zone its availability zone
 * @param address host and port
 * @param targets the models or the service
 * @param memoryTokens KV memory in tokens, 0 for services
 * @param checksFencing whether it checks orders
 * @param leaving whether it is about to leave
 */
public record ListedEndpoint(String id, WorkKind kind, String zone, String address, Set<String> targets,
		long memoryTokens, boolean checksFencing, boolean leaving) {

	/**
	 * Creates the endpoint.
	 * @throws NullPointerException if a reference is null
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
