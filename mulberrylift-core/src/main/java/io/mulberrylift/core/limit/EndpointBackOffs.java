package io.mulberrylift.core.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import io.mulberrylift.core.model.EndpointId;

/**
 * Times until which endpoints want no requests from this instance.
 *
 * <p>
 * Not thread-safe; owned by the reducer. A back-off is for one instance and is not
 * published. It ends when its time has passed or when its endpoint is no longer listed;
 * no answer shortens it.
 * </p>
 */
public final class EndpointBackOffs {

	private final Map<EndpointId, Long> endMillis = new HashMap<>();

	/** Last malformed value by endpoint. */
	private final Map<EndpointId, String> malformedValues = new HashMap<>();

	/**
	 * Records that an endpoint wants no requests for a time.
	 * @param endpoint the endpoint
	 * @param durationMillis the time
	 * @param nowMillis the current time
	 * @return the time by which the end of the back-off moved, 0 if it was not extended
	 */
	public long extend(EndpointId endpoint, long durationMillis, long nowMillis) {
		long before = Math.max(nowMillis, this.endMillis.getOrDefault(endpoint, nowMillis));
		long after = Math.max(before, nowMillis + durationMillis);
		this.endMillis.put(endpoint, after);
		return after - before;
	}

	/**
	 * Records a malformed time.
	 * @param endpoint the endpoint
	 * @param value text of the time
	 * @return true if it differs from the endpoint's previous malformed time
	 */
	public boolean recordMalformed(EndpointId endpoint, String value) {
		return !value.equals(this.malformedValues.put(endpoint, value));
	}

	/**
	 * Returns the remaining time for which an endpoint wants no requests.
	 * @param endpoint the endpoint
	 * @param nowMillis the current time
	 * @return the time in milliseconds, 0 if it accepts requests
	 */
	public long remainingMillis(EndpointId endpoint, long nowMillis) {
		return Math.max(0, this.endMillis.getOrDefault(endpoint, nowMillis) - nowMillis);
	}

	/**
	 * Returns whether an endpoint accepts requests from this instance.
	 * @param endpoint the endpoint
	 * @param nowMillis the current time
	 * @return false during a back-off
	 */
	public boolean mayUse(EndpointId endpoint, long nowMillis) {
		return remainingMillis(endpoint, nowMillis) == 0;
	}

	/**
	 * Removes back-offs that have ended.
	 * @param nowMillis the current time
	 */
	public void expire(long nowMillis) {
		this.endMillis.values().removeIf((end) -> end <= nowMillis);
	}

	/**
	 * Removes what is known of endpoints that are no longer listed.
	 * @param listed the listed endpoints
	 */
	public void retain(Collection<EndpointId> listed) {
		this.endMillis.keySet().retainAll(listed);
		this.malformedValues.keySet().retainAll(listed);
	}

	/**
	 * Removes what is known of an endpoint whose process has started again.
	 * @param endpoint the endpoint
	 */
	public void forget(EndpointId endpoint) {
		this.endMillis.remove(endpoint);
		this.malformedValues.remove(endpoint);
	}

	/**
	 * Returns all back-offs, for operators.
	 * @param nowMillis the current time
	 * @return remaining milliseconds by endpoint
	 */
	public Map<EndpointId, Long> all(long nowMillis) {
		Map<EndpointId, Long> all = new TreeMap<>();
		for (EndpointId endpoint : this.endMillis.keySet()) {
			if (!mayUse(endpoint, nowMillis)) {
				all.put(endpoint, remainingMillis(endpoint, nowMillis));
			}
		}
		return all;
	}

}
