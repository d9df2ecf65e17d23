package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;

import io.mulberrylift.core.limit.EndpointBackOffs;
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

	/** Largest inter-token gap target of a short answer. */
	private static final long SHORT_GAP_MILLIS = 300;

	private final EndpointTable endpoints;

	private final WorkTable work;

	private final RequestLimits limits;

	private final EndpointBackOffs backOffs;

	/** Region of each availability zone. */
	private Map<String, String> regionsByZone = Map.of();

	EndpointCandidates(EndpointTable endpoints, WorkTable work, RequestLimits limits, EndpointBackOffs backOffs) {
		this.endpoints = Objects.requireNonNull(endpoints, "endpoints");
		this.work = Objects.requireNonNull(work, "work");
		this.limits = Objects.requireNonNull(limits, "limits");
		this.backOffs = Objects.requireNonNull(backOffs, "backOffs");
	}

	void setRegions(Map<String, String> regions) {
		this.regionsByZone = regions;
	}

	/**
	 * Returns whether any endpoint that accepts new work is in a region that a request
	 * may be in.
	 * @param state the request
	 * @return true for a request that may be anywhere
	 */
	boolean hasAllowed(ForwardState state) {
		return !state.allowedRegions.isRestricted() || allowed(state).findAny().isPresent();
	}

	private Stream<ForwardEndpoint> allowed(ForwardState state) {
		return this.endpoints.available(state.service)
			.stream()
			.filter((endpoint) -> state.allowedRegions.allows(endpoint.zone(), this.regionsByZone));
	}

	/**
	 * Returns the endpoints that accept new work, are in a permitted region, have not
	 * been tried, do not back off and have room in their limit. Avoided ones are included
	 * only if there are no others.
	 * @param state the request
	 * @param nowMillis the current time
	 * @return the endpoints with their work
	 */
	List<EndpointWork> find(ForwardState state, long nowMillis) {
		List<ForwardEndpoint> available = untried(state)
			.filter((endpoint) -> this.backOffs.mayUse(endpoint.id(), nowMillis))
			.filter((endpoint) -> this.limits.mayUse(endpoint.id(), nowMillis))
			.toList();
		List<EndpointWork> all = this.work.view(available);
		List<EndpointWork> healthy = all.stream().filter((each) -> !each.health().isAvoided(nowMillis)).toList();
		return warmForLongPrompts(state, healthy.isEmpty() ? all : healthy);
	}

	/**
	 * Leaves the few requests that cold endpoints accept to short answers, as long as
	 * there are other endpoints for long prompts.
	 * @param state the request
	 * @param found its candidates
	 * @return those to use
	 */
	private List<EndpointWork> warmForLongPrompts(ForwardState state, List<EndpointWork> found) {
		if (!state.isPrompt() || state.route.gapTargetMillis() <= SHORT_GAP_MILLIS) {
			return found;
		}
		List<EndpointWork> warm = found.stream()
			.filter((each) -> !this.limits.isImplied(each.endpoint().id()))
			.toList();
		return warm.isEmpty() ? found : warm;
	}

	private Stream<ForwardEndpoint> untried(ForwardState state) {
		return allowed(state).filter((endpoint) -> !state.triedEndpoints.contains(endpoint.id()));
	}

	/**
	 * Returns the candidates that have no limit.
	 * @param candidates the candidates
	 * @return those without a limit
	 */
	List<EndpointWork> withoutLimit(List<EndpointWork> candidates) {
		return candidates.stream()
			.filter((each) -> this.limits.limit(each.endpoint().id()).isEmpty()
					&& !this.limits.isImplied(each.endpoint().id()))
			.toList();
	}

	/**
	 * Returns why there are no candidates for a request.
	 * @param state the request
	 * @param nowMillis the current time
	 * @return the cause
	 */
	RefusalCause unavailabilityCause(ForwardState state, long nowMillis) {
		if (untried(state).anyMatch((endpoint) -> this.backOffs.mayUse(endpoint.id(), nowMillis))) {
			return RefusalCause.ENDPOINTS_LIMITED;
		}
		if (untried(state).findAny().isPresent()) {
			return RefusalCause.ENDPOINTS_BACKING_OFF;
		}
		return (state.sends > 0) ? RefusalCause.NOT_RUN : RefusalCause.NO_ENDPOINT;
	}

	/**
	 * Returns the time until an endpoint accepts a request: its back-off has ended and
	 * its limit has room.
	 * @param state the request
	 * @param nowMillis the current time
	 * @return the time in milliseconds, 0 if one accepts requests now or there is none
	 */
	long acceptedInMillis(ForwardState state, long nowMillis) {
		return allowed(state).mapToLong((endpoint) -> Math.max(this.backOffs.remainingMillis(endpoint.id(), nowMillis),
				this.limits.acceptsInMillis(endpoint.id(), nowMillis)))
			.min()
			.orElse(0);
	}

}
