package io.mulberrylift.core.gossip;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Periodic part of a digest: what an instance publishes to its peers in addition to its
 * work.
 *
 * @param zone availability zone of the instance
 * @param configurationVersion version of its newest configuration; 0 for none
 * @param storeRevision revision of the platform's store that it has read up to
 * @param storeKnowledge how it learns of changes in the store, empty for a build that
 * does not state it
 * @param endpointsReachable whether it reaches any endpoint, as far as it knows
 * @param avoided endpoints that it avoids because of faults that it observed itself
 * @param limits limits of requests that endpoints named or ended recently
 * @param members a sample of the instances that it knows
 * @param figures what it knows beyond its own work, in optional fields
 */
public record FullState(String zone, long configurationVersion, StoreRevision storeRevision,
		Optional<StoreKnowledge> storeKnowledge, boolean endpointsReachable, List<AvoidedEndpoint> avoided,
		List<EndpointLimit> limits, List<KnownMember> members, FleetFigures figures) {

	/**
	 * Creates the state.
	 */
	public FullState {
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(storeRevision, "storeRevision");
		Objects.requireNonNull(storeKnowledge, "storeKnowledge");
		avoided = List.copyOf(avoided);
		limits = List.copyOf(limits);
		members = List.copyOf(members);
		Objects.requireNonNull(figures, "figures");
	}

	/**
	 * Creates a state without figures.
	 * @param zone availability zone of the instance
	 * @param configurationVersion version of its newest configuration
	 * @param storeRevision revision of the platform's store that it has read up to
	 * @param storeKnowledge how it learns of changes in the store
	 * @param endpointsReachable whether it reaches any endpoint
	 * @param avoided endpoints that it avoids
	 * @param limits limits of requests that endpoints named or ended recently
	 * @param members a sample of the instances that it knows
	 */
	public FullState(String zone, long configurationVersion, StoreRevision storeRevision,
			Optional<StoreKnowledge> storeKnowledge, boolean endpointsReachable, List<AvoidedEndpoint> avoided,
			List<EndpointLimit> limits, List<KnownMember> members) {
		this(zone, configurationVersion, storeRevision, storeKnowledge, endpointsReachable, avoided, limits, members,
				FleetFigures.NONE);
	}

}
