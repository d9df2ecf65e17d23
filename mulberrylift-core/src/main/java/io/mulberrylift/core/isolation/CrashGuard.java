package io.mulberrylift.core.isolation;

import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.time.Moment;

/**
 * Prevents poison requests, which crash the endpoints that run them, from taking down
 * more than two endpoints.
 *
 * <p>
 * Not thread-safe; owned by the reducer.
 * </p>
 */
public interface CrashGuard {

	/**
	 * Classifies a request by the endpoints lost while running it.
	 * @param fingerprint the request's fingerprint
	 * @return the classification
	 */
	CrashClassification classify(long fingerprint);

	/**
	 * Returns whether a request may start on an endpoint now.
	 * @param fingerprint the request's fingerprint
	 * @param endpoint the endpoint
	 * @param now the current time
	 * @return {@code false} if two endpoints may already be lost to the request, so that
	 * it must wait
	 */
	boolean mayStart(long fingerprint, EndpointId endpoint, Moment now);

	/**
	 * Records that a request runs on an endpoint.
	 * @param attemptId the attempt
	 * @param fingerprint the request's fingerprint
	 * @param endpoint the endpoint
	 */
	void attemptStarted(long attemptId, long fingerprint, EndpointId endpoint);

	/**
	 * Records that an attempt ended.
	 * @param attemptId the attempt
	 * @param connectionLost whether its connection broke, so that the endpoint may have
	 * crashed
	 * @param now the current time
	 * @param effects receives the messages
	 */
	void attemptEnded(long attemptId, boolean connectionLost, Moment now, Effects effects);

	/**
	 * Records that an endpoint's process is known to have ended.
	 * @param endpoint the endpoint
	 * @param now the current time
	 * @param effects receives the messages
	 */
	void endpointLost(EndpointId endpoint, Moment now, Effects effects);

}
