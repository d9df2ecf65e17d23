package io.mulberrylift.core.gossip;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.placement.EndpointSummary;
import io.mulberrylift.core.placement.RequestWork;

/**
 * What an instance tells its peers in one message. Times are relative to its sending.
 *
 * @param sender address that other instances reach it at
 * @param incarnation differs for each start of the process at that address
 * @param sequence larger for each message of an incarnation
 * @param work its work in progress by request; in a message of changes, what has changed
 * @param ended requests that have ended since the last message
 * @param summaries its work in sum at some endpoints, instead of single requests in large
 * fleets
 * @param fullState the rest of a whole message, empty in a message of changes
 */
public record InstanceDigest(String sender, long incarnation, long sequence, Map<Long, RequestWork> work,
		List<Long> ended, List<EndpointSummary> summaries, Optional<FullState> fullState) {

	/**
	 * Creates the digest.
	 */
	public InstanceDigest {
		Objects.requireNonNull(sender, "sender");
		Objects.requireNonNull(fullState, "whole");
		work = Map.copyOf(work);
		ended = List.copyOf(ended);
		summaries = List.copyOf(summaries);
	}

}
