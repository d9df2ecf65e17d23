package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.EndpointHealth;

/**
 * Starts of endpoints, by which a process that started again under a known identity is
 * told from the one before. Starts of endpoints that are not listed at the moment are
 * remembered as well.
 *
 * <p>
 * Not thread-safe; owned by the reducer. The list of endpoints is in the order of their
 * starts, so any other start than the known one is that of another process.
 * </p>
 */
final class EndpointStarts {

	/**
	 * Time after a restart during which peers may still report what they know of the
	 * process before; no avoidance lasts longer.
	 */
	static final long PEER_DELAY_MILLIS = EndpointHealth.MAX_AVOIDANCE_MILLIS;

	/** Maximum number of starts of endpoints that are not listed. */
	private static final int MAX_UNLISTED = 4096;

	private final Map<EndpointId, Start> starts = new HashMap<>();

	/**
	 * Records the starts of all listed endpoints.
	 * @param listed the endpoints
	 * @param nowMillis the current time
	 * @return the endpoints that started again under their identities
	 */
	List<Restart> record(Collection<ForwardEndpoint> listed, long nowMillis) {
		List<Restart> restarts = new ArrayList<>();
		for (ForwardEndpoint endpoint : listed) {
			long startedMillis = endpoint.startedEpochMillis();
			Start known = this.starts.get(endpoint.id());
			if (startedMillis == 0 || (known != null && known.epochMillis() == startedMillis)) {
				continue;
			}
			this.starts.put(endpoint.id(), new Start(startedMillis, nowMillis, known != null));
			if (known != null) {
				restarts.add(new Restart(endpoint, known.epochMillis()));
			}
		}
		if (this.starts.size() > listed.size() + MAX_UNLISTED) {
			this.starts.keySet().retainAll(listed.stream().map(ForwardEndpoint::id).toList());
		}
		return restarts;
	}

	/**
	 * Returns whether an endpoint has started again since it was chosen.
	 * @param chosen the endpoint as it was when it was chosen
	 * @return true if its process is known to be gone
	 */
	boolean hasRestarted(ForwardEndpoint chosen) {
		Start known = this.starts.get(chosen.id());
		return known != null && known.again() && known.epochMillis() != chosen.startedEpochMillis();
	}

	/**
	 * Returns whether what a peer reports may concern the process before.
	 * @param endpoint the endpoint
	 * @param ageMillis maximum age of what it reports
	 * @param nowMillis the current time
	 * @return true if the report is to be ignored
	 */
	boolean mayConcernProcessBefore(EndpointId endpoint, long ageMillis, long nowMillis) {
		Start known = this.starts.get(endpoint);
		return known != null && known.again() && nowMillis - known.learnedMillis() <= ageMillis;
	}

	/**
	 * An endpoint that started again.
	 *
	 * @param endpoint the endpoint as listed now
	 * @param earlierEpochMillis start of the process before
	 */
	record Restart(ForwardEndpoint endpoint, long earlierEpochMillis) {
	}

	private record Start(long epochMillis, long learnedMillis, boolean again) {
	}

}
