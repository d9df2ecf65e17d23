package io.mulberrylift.core.scheduling;

import java.util.Objects;

import io.mulberrylift.core.model.Refusal;

/**
 * A request that was removed from the queue because it can no longer meet its deadline.
 *
 * @param requestId the request
 * @param refusal the reason and the time to retry after; its outcome applies only if no
 * endpoint received the request
 */
public record InfeasibleRequest(long requestId, Refusal refusal) {

	/**
	 * Creates the record.
	 * @throws NullPointerException if the refusal is null
	 */
	public InfeasibleRequest {
		Objects.requireNonNull(refusal, "refusal");
	}

}
