package io.mulberrylift.core.isolation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.mulberrylift.core.model.EndpointId;

/**
 * Tries whose connection broke lately, of which it is not known whether their endpoint
 * was lost.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. A try is dropped when its
 * endpoint's loss is known and after 5 s.
 * </p>
 */
final class BrokenAttempts {

	static final long RETENTION_MILLIS = 5_000;

	private final Map<EndpointId, List<Broken>> byEndpoint = new HashMap<>();

	private final Map<Long, Integer> counts = new HashMap<>();

	/**
	 * Records a try.
	 * @param run the try
	 * @param own whether it was a try of this instance
	 * @param nowMonotonicMillis the current time
	 */
	void add(RequestAttempt run, boolean own, long nowMonotonicMillis) {
		List<Broken> broken = this.byEndpoint.computeIfAbsent(run.process().endpoint(), (id) -> new ArrayList<>());
		if (broken.stream().noneMatch((known) -> known.attempt().equals(run))) {
			broken.add(new Broken(run, own, nowMonotonicMillis));
			this.counts.merge(run.fingerprint(), 1, Integer::sum);
		}
	}

	/**
	 * Takes out the tries of an endpoint.
	 * @param endpoint the endpoint
	 * @return the tries, empty when there are none
	 */
	List<Broken> remove(EndpointId endpoint) {
		List<Broken> broken = this.byEndpoint.remove(endpoint);
		if (broken == null) {
			return List.of();
		}
		broken.forEach((entry) -> decrementCount(entry.attempt().fingerprint()));
		return broken;
	}

	private void decrementCount(long fingerprint) {
		this.counts.computeIfPresent(fingerprint, (key, count) -> (count > 1) ? count - 1 : null);
	}

	Set<EndpointId> endpoints(long fingerprint) {
		if (!this.counts.containsKey(fingerprint)) {
			return Set.of();
		}
		Set<EndpointId> endpoints = new HashSet<>();
		this.byEndpoint.forEach((endpoint, broken) -> {
			if (broken.stream().anyMatch((entry) -> entry.attempt().fingerprint() == fingerprint)) {
				endpoints.add(endpoint);
			}
		});
		return endpoints;
	}

	void removeExpired(long nowMonotonicMillis) {
		long oldest = nowMonotonicMillis - RETENTION_MILLIS;
		for (List<Broken> broken : this.byEndpoint.values()) {
			while (!broken.isEmpty() && broken.get(0).recordedMonotonicMillis() < oldest) {
				decrementCount(broken.remove(0).attempt().fingerprint());
			}
		}
		this.byEndpoint.values().removeIf(List::isEmpty);
	}

	/**
	 * A try whose connection broke.
	 *
	 * @param attempt the try
	 * @param local whether it was a try of this instance
	 * @param recordedMonotonicMillis when that became known
	 */
	record Broken(RequestAttempt attempt, boolean local, long recordedMonotonicMillis) {
	}

}
