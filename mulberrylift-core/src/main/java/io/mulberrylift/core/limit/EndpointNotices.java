package io.mulberrylift.core.limit;

import java.util.Objects;

/**
 * What an answer says about the requests that its endpoint accepts from now on.
 *
 * @param limit requests per second that it accepts from all instances together
 * @param backOff time for which it wants no requests from this instance
 * @param leaving whether it is about to be removed and must not receive new work
 */
public record EndpointNotices(RequestLimitReport limit, BackOffReport backOff, boolean leaving) {

	/**
	 * Creates the notices.
	 */
	public EndpointNotices {
		Objects.requireNonNull(limit, "limit");
		Objects.requireNonNull(backOff, "backOff");
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
