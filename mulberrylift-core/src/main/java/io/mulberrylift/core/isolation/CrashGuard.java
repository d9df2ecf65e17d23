package io.mulberrylift.core.isolation;

import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.time.Moment;

/**
 * Keeps requests that crash endpoints from taking down more than two.
 *
 * <p>
 * Owned by the reducer and not safe for use by several threads.
 * </p>
 */
public interface CrashGuard {

	/**
	 * Returns how a request may run.
	 * @param fingerprint the request's fingerprint
	 * @return the verdict
	 */
	CrashClassification classify(long fingerprint);

	/**
	 * Returns whether a request may start on an endpoint now.
	 * @param fingerprint the request's fingerprint
	 * @param endpoint the endpoint
	 * @param now the current time
	 * @return false when two endpoints may already be lost to it, so that it must wait
	 */
	boolean mayStart(long fingerprint, EndpointId endpoint, Moment now);

	/**
	 * Records that a request runs on an endpoint.
	 * @param attemptId the try
	 * @param fingerprint the request's fingerprint
	 * @param endpoint the endpoint
	 */
	void attemptStarted(long attemptId, long fingerprint, EndpointId endpoint);

	/**
	 * Records that a try ended.
	 * @param attemptId the try
	 * @param connectionLost whether its connection broke, so that the endpoint may have
	 * crashed
	 * @param now the current time
	 * @param effects takes the messages
	 */
	void attemptEnded(long attemptId, boolean connectionLost, Moment now, Effects effects);

	/**
	 * Records that an endpoint's process is known to have ended.
	 * @param endpoint the endpoint
	 * @param now the current time
	 * @param effects takes the messages
	 */
	void endpointLost(EndpointId endpoint, Moment now, Effects effects);

}
