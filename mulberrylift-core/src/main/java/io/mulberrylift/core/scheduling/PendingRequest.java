package io.mulberrylift.core.scheduling;

import java.util.Objects;
import java.util.Set;

import io.mulberrylift.core.configuration.ProfileSettings;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.RequestSpec;

/**
 * A request that is waiting for an endpoint.
 *
 * @param spec the request
 * @param profile settings of its profile
 * @param weight fair-share weight of its workspace
 * @param arrivedMonotonicMillis time of its arrival
 * @param deadlineMonotonicMillis time by which it must be complete
 * @param attemptsMade number of attempts made so far
 * @param resumeOffsetTokens output tokens that the caller has already received
 * @param excluded endpoints that must not run it again
 * @param notBeforeMonotonicMillis earliest time of the next attempt
 * @param suspected whether it is a suspected poison request, which must not share an
 * endpoint with another one
 */
public record PendingRequest(RequestSpec spec, ProfileSettings profile, double weight, long arrivedMonotonicMillis,
		long deadlineMonotonicMillis, int attemptsMade, int resumeOffsetTokens, Set<EndpointId> excluded,
		long notBeforeMonotonicMillis, boolean suspected) {

	/**
	 * Creates the request.
	 * @throws NullPointerException if a reference is null
	 */
	public PendingRequest {
		Objects.requireNonNull(spec, "spec");
		Objects.requireNonNull(profile, "profile");
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Returns the identity of the request.
	 * @return the identity, unique within the instance's incarnation
	 */
	public long requestId() {
		return this.spec.requestId();
	}

}
