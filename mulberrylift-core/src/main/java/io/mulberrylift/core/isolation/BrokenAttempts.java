package io.mulberrylift.core.isolation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.mulberrylift.core.model.EndpointId;

/**
 * Attempts whose connection broke recently, before it is known whether their endpoint was
 * lost.
 *
 * <p>
 * Not thread-safe; owned by the reducer. An attempt is removed when the loss of its
 * endpoint is confirmed, or after 5 s.
 * </p>
 */
final class BrokenAttempts {

	static final long RETENTION_MILLIS = 5_000;

	private final Map<EndpointId, List<BrokenAttempt>> byEndpoint = new HashMap<>();

	private final Map<Long, Integer> counts = new HashMap<>();

	/**
	 * Records an attempt, unless an equal one is already recorded.
	 * @param attempt the attempt
	 * @param local whether this instance made the attempt
	 * @param nowMonotonicMillis the current time
	 */
	void add(RequestAttempt attempt, boolean local, long nowMonotonicMillis) {
		List<BrokenAttempt> broken = this.byEndpoint.computeIfAbsent(attempt.process().endpoint(),
				(id) -> new ArrayList<>());
		if (broken.stream().noneMatch((known) -> known.attempt().equals(attempt))) {
			broken.add(new BrokenAttempt(attempt, local, nowMonotonicMillis));
			this.counts.merge(attempt.fingerprint(), 1, Integer::sum);
		}
	}

	/**
	 * Removes the attempts on an endpoint.
	 * @param endpoint the endpoint
	 * @return the removed attempts, may be empty
	 */
	List<BrokenAttempt> remove(EndpointId endpoint) {
		List<BrokenAttempt> broken = this.byEndpoint.remove(endpoint);
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
		long oldestMonotonicMillis = nowMonotonicMillis - RETENTION_MILLIS;
		for (List<BrokenAttempt> broken : this.byEndpoint.values()) {
			while (!broken.isEmpty() && broken.get(0).recordedMonotonicMillis() < oldestMonotonicMillis) {
				decrementCount(broken.remove(0).attempt().fingerprint());
			}
		}
		this.byEndpoint.values().removeIf(List::isEmpty);
	}

	/**
	 * An attempt whose connection broke.
	 *
	 * @param attempt the attempt
	 * @param local whether this instance made the attempt
	 * @param recordedMonotonicMillis when the broken connection was recorded
	 */
	record BrokenAttempt(RequestAttempt attempt, boolean local, long recordedMonotonicMillis) {
	}

}
