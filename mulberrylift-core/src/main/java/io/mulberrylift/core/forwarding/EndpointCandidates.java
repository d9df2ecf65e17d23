package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

import io.mulberrylift.core.limit.RequestLimits;
import io.mulberrylift.core.placement.EndpointWork;
import io.mulberrylift.core.placement.WorkTable;

/**
 * Selects the endpoints that a request may be sent to.
 *
 * <p>
 * Not thread-safe; owned by the reducer.
 * </p>
 */
final class EndpointCandidates {

	private final EndpointTable endpoints;

	private final WorkTable work;

	private final RequestLimits limits;

	EndpointCandidates(EndpointTable endpoints, WorkTable work, RequestLimits limits) {
		this.endpoints = Objects.requireNonNull(endpoints, "endpoints");
		this.work = Objects.requireNonNull(work, "work");
		this.limits = Objects.requireNonNull(limits, "limits");
	}

	/**
	 * Returns the endpoints that accept new work, have not been tried and have room in
	 * their limit. Avoided ones are included only if there are no others.
	 * @param state the request
	 * @param nowMillis the current time
	 * @return the endpoints with their work
	 */
	List<EndpointWork> find(ForwardState state, long nowMillis) {
		List<ForwardEndpoint> available = untried(state)
			.filter((endpoint) -> this.limits.mayUse(endpoint.id(), nowMillis))
			.toList();
		List<EndpointWork> all = this.work.view(available);
		List<EndpointWork> healthy = all.stream().filter((each) -> !each.health().isAvoided(nowMillis)).toList();
		return healthy.isEmpty() ? all : healthy;
	}

	private Stream<ForwardEndpoint> untried(ForwardState state) {
		return this.endpoints.available(state.service)
			.stream()
			.filter((endpoint) -> !state.triedEndpoints.contains(endpoint.id()));
	}

	/**
	 * Returns the candidates that name no limit.
	 * @param candidates the candidates
	 * @return those without a limit
	 */
	List<EndpointWork> withoutLimit(List<EndpointWork> candidates) {
		return candidates.stream().filter((each) -> this.limits.limit(each.endpoint().id()).isEmpty()).toList();
	}

	/**
	 * Returns why there are no candidates for a request.
	 * @param state the request
	 * @return the cause
	 */
	RefusalCause unavailabilityCause(ForwardState state) {
		if (untried(state).findAny().isPresent()) {
			return RefusalCause.ENDPOINTS_LIMITED;
		}
		return (state.sends > 0) ? RefusalCause.NOT_RUN : RefusalCause.NO_ENDPOINT;
	}

	/**
	 * Returns the time until the limit of an untried endpoint has room.
	 * @param state the request
	 * @param nowMillis the current time
	 * @return the time in milliseconds, 0 if there is no untried endpoint
	 */
	long acceptedInMillis(ForwardState state, long nowMillis) {
		return untried(state).mapToLong((endpoint) -> this.limits.acceptsInMillis(endpoint.id(), nowMillis))
			.min()
			.orElse(0);
	}

}
