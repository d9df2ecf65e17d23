package io.mulberrylift.core.forwarding;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.mulberrylift.core.gossip.CrashObservation;

/**
 * Requests whose runs ended with the loss of the endpoint, across all instances.
 *
 * <p>
 * A sighting is a pair of a request's fingerprint and an endpoint, so that reports of
 * several instances about one loss count once. Not safe for use by several threads.
 * Sightings expire after {@value #OBSERVATION_TTL_MILLIS} ms.
 * </p>
 */
final class CrashSuspects {

	/** Sightings after which a request is isolated. */
	static final int ISOLATION_THRESHOLD = 3;

	private static final long OBSERVATION_TTL_MILLIS = 120_000;

	private static final int MAX_FINGERPRINTS = 4096;

	private static final long PUBLISH_MILLIS = 2500;

	private static final int MAX_PUBLISHED = 12;

	private final Map<Long, Suspect> suspects = new HashMap<>();

	void record(CrashObservation sighting, long nowMillis) {
		if (this.suspects.size() >= MAX_FINGERPRINTS) {
			expire(nowMillis - OBSERVATION_TTL_MILLIS / 2);
		}
		Suspect suspect = this.suspects.computeIfAbsent(sighting.fingerprint(), (key) -> new Suspect());
		if (suspect.endpoints.add(sighting.endpointHash())) {
			suspect.lastMillis = nowMillis;
		}
	}

	boolean isIsolated(long fingerprint) {
		Suspect suspect = this.suspects.get(fingerprint);
		return suspect != null && suspect.endpoints.size() >= ISOLATION_THRESHOLD;
	}

	void expire(long beforeMillis) {
		for (Iterator<Suspect> each = this.suspects.values().iterator(); each.hasNext();) {
			if (each.next().lastMillis < beforeMillis) {
				each.remove();
			}
		}
	}

	void tick(long nowMillis) {
		expire(nowMillis - OBSERVATION_TTL_MILLIS);
	}

	/**
	 * Returns the sightings that peers should hear about now.
	 * @param nowMillis the current time
	 * @return a bounded number of sightings
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
