package io.mulberrylift.core.zone;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.mulberrylift.core.gossip.EvacuationKnowledge;
import io.mulberrylift.core.gossip.StoreRevision;

/**
 * The evacuated availability zones, as this instance knows them: its endpoints must not
 * receive new work until the evacuation is taken back.
 *
 * <p>
 * Not thread-safe; owned by the reducer. What is known is replaced as a whole and only by
 * knowledge of a later revision of the platform's store, so that an older view never
 * reverts it. It does not expire while the store is away.
 * </p>
 */
public final class ZoneEvacuations {

	private StoreRevision revision = StoreRevision.NONE;

	/** When this instance learned of each evacuation, by zone. */
	private final Map<String, Long> sinceMillis = new TreeMap<>();

	private boolean everEvacuated;

	/**
	 * Applies knowledge read from the store or received from a peer.
	 * @param knowledge the evacuated zones as of a revision
	 * @param fromStore whether this instance read it itself; the store's answer of the
	 * revision that is known completes it
	 * @param nowMillis the current time
	 * @return the zones that changed, none if the knowledge is not newer
	 */
	public Change apply(EvacuationKnowledge knowledge, boolean fromStore, long nowMillis) {
		boolean newer = knowledge.revision().isAfter(this.revision)
				|| (fromStore && knowledge.revision().equals(this.revision));
		if (!newer) {
			return Change.NONE;
		}
		this.revision = knowledge.revision();
		List<String> begun = knowledge.zones().stream().filter((zone) -> !isEvacuated(zone)).distinct().toList();
		Map<String, Long> ended = new TreeMap<>(this.sinceMillis);
		ended.keySet().removeAll(knowledge.zones());
		this.sinceMillis.keySet().retainAll(knowledge.zones());
		begun.forEach((zone) -> this.sinceMillis.put(zone, nowMillis));
		this.everEvacuated |= !begun.isEmpty();
		return new Change(begun, ended);
	}

	/**
	 * Returns whether a zone is evacuated.
	 * @param zone name of the zone
	 * @return true until the evacuation is taken back
	 */
	public boolean isEvacuated(String zone) {
		return this.sinceMillis.containsKey(zone);
	}

	/**
	 * Returns the evacuated zones.
	 * @return when this instance learned of each evacuation, by zone, in their order
	 */
	public Map<String, Long> all() {
		return new TreeMap<>(this.sinceMillis);
	}

	/**
	 * Returns the revision of the store up to which the evacuations are known.
	 * @return the revision, {@link StoreRevision#NONE} if nothing is known
	 */
	public StoreRevision revision() {
		return this.revision;
	}

	/**
	 * Returns what peers are told.
	 * @return the knowledge, empty as long as no evacuation has been known
	 */
	public Optional<EvacuationKnowledge> published() {
		return (this.everEvacuated)
				? Optional.of(new EvacuationKnowledge(this.revision, new ArrayList<>(this.sinceMillis.keySet())))
				: Optional.empty();
	}

	/**
	 * Zones whose evacuation began or ended.
	 *
	 * @param begun zones that are evacuated now and were not before
	 * @param ended zones that are no longer evacuated, with the time at which this
	 * instance had learned of the evacuation
	 */
	public record Change(List<String> begun, Map<String, Long> ended) {

		static final Change NONE = new Change(List.of(), Map.of());

		/**
		 * Returns whether no zone changed.
		 * @return true if none did
		 */
		public boolean isEmpty() {
			return this.begun.isEmpty() && this.ended.isEmpty();
		}

	}

}
