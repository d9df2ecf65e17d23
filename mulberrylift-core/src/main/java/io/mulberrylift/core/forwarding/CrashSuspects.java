package io.mulberrylift.core.forwarding;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.mulberrylift.core.gossip.CrashObservation;

/**
 * Requests suspected of crashing endpoints, as observed by all instances.
 *
 * <p>
 * A crash observation is a pair of a request's fingerprint and an endpoint, so that
 * reports of several instances about the same loss count once. Observations expire after
 * {@value #OBSERVATION_TTL_MILLIS} ms. Not thread-safe.
 * </p>
 */
final class CrashSuspects {

	/** Number of crashed endpoints from which a request is isolated. */
	static final int ISOLATION_THRESHOLD = 3;

	private static final long OBSERVATION_TTL_MILLIS = 120_000;

	private static final int MAX_FINGERPRINTS = 4096;

	private static final long PUBLISH_MILLIS = 2500;

	private static final int MAX_PUBLISHED = 12;

	private final Map<Long, Suspect> suspects = new HashMap<>();

	/**
	 * Records an observation.
	 * @param observation the observation
	 * @param nowMillis the current time
	 * @return whether it was new
	 */
	boolean record(CrashObservation observation, long nowMillis) {
		if (this.suspects.size() >= MAX_FINGERPRINTS) {
			expire(nowMillis - OBSERVATION_TTL_MILLIS / 2);
		}
		Suspect suspect = this.suspects.computeIfAbsent(observation.fingerprint(), (key) -> new Suspect());
		boolean added = suspect.endpoints.add(observation.endpointHash());
		if (added) {
			suspect.lastMillis = nowMillis;
		}
		return added;
	}

	boolean isIsolated(long fingerprint) {
		return lossCount(fingerprint) >= ISOLATION_THRESHOLD;
	}

	/**
	 * Returns the number of endpoints that were lost while running a request.
	 * @param fingerprint fingerprint of the request
	 * @return the number
	 */
	int lossCount(long fingerprint) {
		Suspect suspect = this.suspects.get(fingerprint);
		return (suspect != null) ? suspect.endpoints.size() : 0;
	}

	void expire(long beforeMillis) {
		for (Iterator<Suspect> iterator = this.suspects.values().iterator(); iterator.hasNext();) {
			if (iterator.next().lastMillis < beforeMillis) {
				iterator.remove();
			}
		}
	}

	void tick(long nowMillis) {
		expire(nowMillis - OBSERVATION_TTL_MILLIS);
	}

	/**
	 * Returns the recent observations, which are published to peers.
	 * @param nowMillis the current time
	 * @return at most {@value #MAX_PUBLISHED} observations
	 */
	List<CrashObservation> recent(long nowMillis) {
		return this.suspects.entrySet()
			.stream()
			.filter((entry) -> nowMillis - entry.getValue().lastMillis < PUBLISH_MILLIS)
			.flatMap((entry) -> entry.getValue().endpoints.stream()
				.map((endpoint) -> new CrashObservation(entry.getKey(), endpoint)))
			.limit(MAX_PUBLISHED)
			.toList();
	}

	private static final class Suspect {

		private final Set<Integer> endpoints = new TreeSet<>();

		private long lastMillis;

	}

}
