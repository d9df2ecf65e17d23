package io.mulberrylift.core.scheduling;

import java.util.Objects;
import java.util.Set;

import io.mulberrylift.core.configuration.ProfileSettings;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.RequestSpec;

/**
 * A request that waits for an endpoint.
 *
 * @param spec the request
 * @param profile settings of its profile
 * @param weight share of its workspace
 * @param arrivedMonotonicMillis when it arrived
 * @param deadlineMonotonicMillis when it must have ended
 * @param attemptsMade tries made so far
 * @param resumeOffsetTokens output tokens that the caller already has
 * @param excluded endpoints that must not be tried again
 * @param notBeforeMonotonicMillis earliest time of the next try
 * @param suspected whether no other suspected request may run on the chosen endpoint
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
	 * @return the identity
	 */
	public long requestId() {
		return this.spec.requestId();
	}

}
