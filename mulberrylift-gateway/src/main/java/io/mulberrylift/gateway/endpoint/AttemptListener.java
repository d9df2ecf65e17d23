package io.mulberrylift.gateway.endpoint;

import io.mulberrylift.core.forwarding.AttemptOutcome;
import io.mulberrylift.core.limit.BackOffReport;
import io.mulberrylift.core.limit.RequestLimitReport;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.ObservedLoad;

/**
 * Receives the events of attempts. All methods are called on the event loop.
 */
public interface AttemptListener {

	/**
	 * Called when a complete event of a streamed answer was received and, unless it was
	 * forwarded by an earlier attempt, forwarded to the caller.
	 * @param attemptId the attempt
	 */
	void chunkReceived(long attemptId);

	/**
	 * Called once when an attempt ended; no further events of the attempt follow.
	 * @param attemptId the attempt
	 * @param outcome how it ended
	 * @param status status code of the endpoint's answer, 0 if none was received
	 */
	void attemptEnded(long attemptId, AttemptOutcome outcome, int status);

	/**
	 * Called when an endpoint named another endpoint as the cause of its refusal.
	 * @param name identifier or address of the named endpoint
	 */
	void faultReported(String name);

	/**
	 * Called when an answer contained the load of its endpoint.
	 * @param endpoint the endpoint
	 * @param load the load
	 */
	void loadReported(EndpointId endpoint, ObservedLoad load);

	/**
	 * Called when an endpoint answered an attempt, whether or not the answer names a
	 * limit of requests.
	 * @param endpoint the endpoint
	 * @param attemptId the attempt
	 * @param report what the answer says about the limit
	 */
	void limitReported(EndpointId endpoint, long attemptId, RequestLimitReport report);

	/**
	 * Called when an answer names a time for which its endpoint wants no requests.
	 * @param endpoint the endpoint
	 * @param report the time
	 */
	void backOffReported(EndpointId endpoint, BackOffReport report);

	/**
	 * Called when an answer says that its endpoint is leaving.
	 * @param endpoint the endpoint
	 */
	void leavingReported(EndpointId endpoint);

}
