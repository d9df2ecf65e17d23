package io.mulberrylift.core.limit;

import java.util.Objects;
import java.util.Optional;

/**
 * What an answer says about the requests that its endpoint accepts from now on.
 *
 * @param limit requests per second that it accepts from all instances together
 * @param backOff time for which it wants no requests from this instance
 * @param leaving whether it is about to be removed and must not receive new work
 * @param coldMillis how long it stays cold, 0 if it is warm, empty if it states nothing
 */
public record EndpointNotices(RequestLimitReport limit, BackOffReport backOff, boolean leaving,
		Optional<Long> coldMillis) {

	/**
	 * Creates the notices.
	 */
	public EndpointNotices {
		Objects.requireNonNull(limit, "limit");
		Objects.requireNonNull(backOff, "backOff");
		Objects.requireNonNull(coldMillis, "coldMillis");
	}

	/**
	 * Creates the notices of an answer that does not state whether its endpoint is cold.
	 * @param limit requests per second that it accepts
	 * @param backOff time for which it wants no requests
	 * @param leaving whether it must not receive new work
	 */
	public EndpointNotices(RequestLimitReport limit, BackOffReport backOff, boolean leaving) {
		this(limit, backOff, leaving, Optional.empty());
	}

	/**
	 * Returns the notices of an answer that names a limit only.
	 * @param limit the limit
	 * @return the notices
	 */
	public static EndpointNotices of(RequestLimitReport limit) {
		return new EndpointNotices(limit, BackOffReport.none(), false);
	}

	/**
	 * Returns the notices of an answer that names a back-off only.
	 * @param backOff the back-off
	 * @return the notices
	 */
	public static EndpointNotices of(BackOffReport backOff) {
		return new EndpointNotices(RequestLimitReport.unlimited(), backOff, false);
	}

}
