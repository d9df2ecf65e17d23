package io.mulberrylift.core.scheduling;

import java.util.Objects;

import io.mulberrylift.core.model.Refusal;

/**
 * A request that left the queue since it can no longer end by its deadline.
 *
 * @param requestId the request
 * @param refusal why, and when to come back; its outcome holds for a request that no
 * endpoint received
 */
public record InfeasibleRequest(long requestId, Refusal refusal) {

	/**
	 * Creates the news.
	 * @throws NullPointerException if the refusal is null
	 */
	public InfeasibleRequest {
		Objects.requireNonNull(refusal, "refusal");
	}

}
