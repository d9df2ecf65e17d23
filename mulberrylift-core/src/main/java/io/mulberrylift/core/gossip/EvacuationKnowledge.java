package io.mulberrylift.core.gossip;

import java.util.List;
import java.util.Objects;

/**
 * The evacuated availability zones as of a revision of the platform's store. Immutable.
 *
 * @param revision revision of the store up to which the requests of operators are known
 * @param zones names of the evacuated zones, each once
 */
public record EvacuationKnowledge(StoreRevision revision, List<String> zones) {

	/**
	 * Creates the knowledge.
	 */
	public EvacuationKnowledge {
		Objects.requireNonNull(revision, "revision");
		zones = List.copyOf(zones);
	}

}
