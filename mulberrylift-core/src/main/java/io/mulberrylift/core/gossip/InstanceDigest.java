package io.mulberrylift.core.gossip;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.placement.EndpointSummary;
import io.mulberrylift.core.placement.RequestWork;

/**
 * A message in which an instance publishes its state to its peers: either a full state or
 * the changes since the previous message. Times are relative to the time of sending.
 *
 * @param sender address at which other instances reach the sender
 * @param incarnation number that differs for each start of the process at that address
 * @param sequence message number, increasing within an incarnation
 * @param work work in progress by request; in a message of changes, only new and changed
 * work
 * @param ended requests that have ended since the previous message
 * @param summaries work aggregated by endpoint, sent instead of single requests in large
 * fleets
 * @param crashes requests during which endpoints were lost
 * @param fullState remaining fields of a full-state message, empty in a message of
 * changes
 */
public record InstanceDigest(String sender, long incarnation, long sequence, Map<Long, RequestWork> work,
		List<Long> ended, List<EndpointSummary> summaries, List<CrashObservation> crashes,
		Optional<FullState> fullState) {

	/**
	 * Creates the digest.
	 */
	public InstanceDigest {
		Objects.requireNonNull(sender, "sender");
		Objects.requireNonNull(fullState, "fullState");
		work = Map.copyOf(work);
		ended = List.copyOf(ended);
		summaries = List.copyOf(summaries);
		crashes = List.copyOf(crashes);
	}

}
