package io.mulberrylift.core.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.mulberrylift.core.model.EndpointId;

/**
 * Limits of requests per second that endpoints name in their answers.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Answers may overtake each other. A report that
 * lowers a limit is applied at once; one that raises or ends it is applied only if its
 * request was sent after the last report was received.
 * </p>
 */
public final class RequestLimits {

	private final Map<EndpointId, NamedLimit> limits = new HashMap<>();

	/** Last malformed value by endpoint. */
	private final Map<EndpointId, String> malformedValues = new HashMap<>();

	/**
	 * Applies what an answer says about the limit of its endpoint.
	 * @param endpoint the endpoint
	 * @param report the report of the answer; a malformed one changes nothing
	 * @param sentMillis when the request of the answer was sent
	 * @param nowMillis the current time
	 * @return the change, empty if the limit is as before
	 */
	public Optional<LimitChange> apply(EndpointId endpoint, RequestLimitReport report, long sentMillis,
			long nowMillis) {
		if (report.malformedValue().isPresent()) {
			return Optional.empty();
		}
		Optional<Double> before = limit(endpoint);
		NamedLimit known = this.limits.get(endpoint);
		Optional<Double> named = report.requestsPerSecond();
		boolean lowers = named.isPresent() && (before.isEmpty() || named.get() < before.get());
		if (known == null && named.isEmpty()) {
			return Optional.empty();
		}
		if (known != null && !lowers && sentMillis <= known.reportedMillis()) {
			return Optional.empty();
		}
		if (named.isPresent()) {
			this.limits.put(endpoint, new NamedLimit(named.get(), nowMillis));
		}
		else {
			this.limits.remove(endpoint);
		}
		return (before.equals(named)) ? Optional.empty() : Optional.of(new LimitChange(before, named));
	}

	/**
	 * Records a malformed limit.
	 * @param endpoint the endpoint
	 * @param value text of the limit
	 * @return true if it differs from the endpoint's previous malformed limit
	 */
	public boolean recordMalformed(EndpointId endpoint, String value) {
		return !value.equals(this.malformedValues.put(endpoint, value));
	}

	/**
	 * Returns the limit of an endpoint.
	 * @param endpoint the endpoint
	 * @return requests per second, empty if the endpoint names no limit
	 */
	public Optional<Double> limit(EndpointId endpoint) {
		return Optional.ofNullable(this.limits.get(endpoint)).map(NamedLimit::requestsPerSecond);
	}

	/**
	 * Returns all limits, for operators.
	 * @return requests per second by endpoint
	 */
	public Map<EndpointId, Double> all() {
		Map<EndpointId, Double> all = new TreeMap<>();
		this.limits.forEach((endpoint, named) -> all.put(endpoint, named.requestsPerSecond()));
		return all;
	}

	/**
	 * Removes the limits of endpoints that are no longer listed.
	 * @param listed the listed endpoints
	 */
	public void retain(Collection<EndpointId> listed) {
		this.limits.keySet().retainAll(listed);
		this.malformedValues.keySet().retainAll(listed);
	}

	/**
	 * A change of an endpoint's limit.
	 *
	 * @param before requests per second before, empty for no limit
	 * @param after requests per second now, empty for no limit
	 */
	public record LimitChange(Optional<Double> before, Optional<Double> after) {
	}

	private record NamedLimit(double requestsPerSecond, long reportedMillis) {
	}

}
