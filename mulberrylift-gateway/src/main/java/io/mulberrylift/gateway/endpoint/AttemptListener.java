package io.mulberrylift.gateway.endpoint;

import java.util.Optional;

import io.mulberrylift.core.forwarding.AnswerOrigin;
import io.mulberrylift.core.forwarding.AttemptOutcome;
import io.mulberrylift.core.limit.EndpointNotices;
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
	 * Called when the head of the answer to an attempt was received that is to resume a
	 * begun stream.
	 * @param attemptId the attempt
	 * @param afterEvent identifier of the last event that the caller has, empty if it has
	 * none
	 * @param status status code of the answer
	 * @param contentType content type of the answer, empty if it has none
	 */
	void resumptionAnswered(long attemptId, Optional<String> afterEvent, int status, Optional<String> contentType);

	/**
	 * Called when the stream of an attempt isn't read any more, since its caller reads
	 * slowly, and when it is read again.
	 * @param attemptId the attempt
	 * @param paused whether reading is paused from now on
	 */
	void readingPaused(long attemptId, boolean paused);

	/**
	 * Called once when an attempt ended; no further events of the attempt follow.
	 * @param attemptId the attempt
	 * @param outcome how it ended
	 * @param status status code of the endpoint's answer, 0 if none was received
	 * @param origin where the answer was read
	 */
	void attemptEnded(long attemptId, AttemptOutcome outcome, int status, AnswerOrigin origin);

	/**
	 * Called when the head of an answer was received that is not the answer to the
	 * request that its connection carries, once for each attempt and once for a
	 * connection that carries no request.
	 * @param answer what was received
	 */
	void answerSkipped(SkippedAnswer answer);

	/**
	 * Called when a connection to an endpoint was established.
	 * @param endpoint the endpoint
	 */
	void connectionEstablished(EndpointId endpoint);

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
	 * Called when the head of an answer of the expected endpoint was received.
	 * @param endpoint the endpoint
	 * @param attemptId the attempt
	 * @param notices what the answer says about the requests that the endpoint accepts
	 */
	void noticesReceived(EndpointId endpoint, long attemptId, EndpointNotices notices);

}
