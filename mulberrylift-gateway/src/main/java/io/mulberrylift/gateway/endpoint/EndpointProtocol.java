package io.mulberrylift.gateway.endpoint;

import java.util.Optional;

import io.mulberrylift.core.forwarding.GatewayEffect;
import io.mulberrylift.core.placement.ObservedLoad;
import io.mulberrylift.gateway.caller.BufferedRequest;
import io.mulberrylift.gateway.http.CallResult;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Speaks to a deployment's endpoints. Implementations are stateless.
 */
public interface EndpointProtocol {

	/**
	 * Returns the headers of a request to an endpoint, without those of the connection
	 * and of the body's length.
	 * @param request the caller's request
	 * @param send where and how it goes
	 * @param resumeAfter event that the answer goes on after, empty for the caller's own
	 * @return new headers
	 */
	HttpHeaders requestHeaders(BufferedRequest request, GatewayEffect.Send send, Optional<String> resumeAfter);

	/**
	 * Judges the head of an answer.
	 * @param answer the head
	 * @param request the request that waits on the connection
	 * @return what it means
	 */
	AnswerClass classify(HttpResponse answer, BufferedRequest request);

	/**
	 * Returns the headers of an answer that the caller gets.
	 * @param answer the head
	 * @return new headers without those of the connection
	 */
	HttpHeaders answerHeaders(HttpResponse answer);

	/**
	 * Reads the load that an endpoint states.
	 * @param answer the head of any answer
	 * @return the load, empty when none or a malformed one is stated
	 */
	Optional<ObservedLoad> reportedLoad(HttpResponse answer);

	/**
	 * Reads which endpoint a refusal names as its cause.
	 * @param answer the head of a refusal
	 * @return identity or address, empty when none is named
	 */
	Optional<String> reportedFault(HttpResponse answer);

	/**
	 * Returns the call that sets engine memory aside.
	 * @param effect what is wanted
	 * @return path and body
	 */
	EndpointCall reserveMemory(GatewayEffect.ReserveMemory effect);

	/**
	 * Returns the call that gives engine memory back.
	 * @param effect what is wanted
	 * @return path and body
	 */
	EndpointCall releaseMemory(GatewayEffect.ReleaseMemory effect);

	/**
	 * Reads the answer to a call that sets memory aside.
	 * @param result the answer
	 * @return whether the memory is set aside; empty when that is not known
	 */
	Optional<Boolean> reservationGranted(CallResult result);

}
