package io.mulberrylift.gateway.endpoint;

import io.mulberrylift.core.forwarding.AttemptOutcome;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.ObservedLoad;

/**
 * Takes what happens to attempts. Called on the event loop only.
 */
public interface AttemptListener {

	/**
	 * A piece of the answer was passed on.
	 * @param attemptId the attempt
	 */
	void chunkReceived(long attemptId);

	/**
	 * The attempt ended; nothing further is said about it.
	 * @param attemptId the attempt
	 * @param outcome how it ended
	 */
	void attemptEnded(long attemptId, AttemptOutcome outcome);

	/**
	 * An endpoint named another one as the cause of its refusal.
	 * @param name identity or address of the named endpoint
	 */
	void faultReported(String name);

	/**
	 * An endpoint stated its load.
	 * @param endpoint the endpoint
	 * @param load its load
	 */
	void loadReported(EndpointId endpoint, ObservedLoad load);

}
