package io.mulberrylift.core.gossip;

import java.util.List;
import java.util.Objects;

/**
 * What an instance tells its peers now and then beside its work.
 *
 * @param zone its availability zone
 * @param configurationVersion newest configuration that it holds; 0 for none
 * @param storeRevision revision of the platform's store that its view reflects
 * @param avoided endpoints that it avoids
 * @param crashes recent losses of endpoints by requests
 * @param members a sample of the instances that it knows
 */
public record FullState(String zone, long configurationVersion, long storeRevision, List<AvoidedEndpoint> avoided,
		List<CrashObservation> crashes, List<KnownMember> members) {

	/**
	 * Creates the state.
	 */
	public FullState {
		Objects.requireNonNull(zone, "zone");
		avoided = List.copyOf(avoided);
		crashes = List.copyOf(crashes);
		members = List.copyOf(members);
	}

}
