package io.mulberrylift.gateway.endpoint;

import java.util.Optional;

import io.mulberrylift.core.forwarding.GatewayEffect;
import io.mulberrylift.core.limit.EndpointNotices;
import io.mulberrylift.core.placement.ObservedLoad;
import io.mulberrylift.gateway.caller.BufferedRequest;
import io.mulberrylift.gateway.http.CallResult;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Encodes requests to a deployment's endpoints and decodes their answers. Implementations
 * are stateless.
 */
public interface EndpointProtocol {

	/**
	 * Returns the end-to-end headers of a request to an endpoint, without Content-Length.
	 * @param request the caller's request
	 * @param send the endpoint and how the request is sent
	 * @param resumeAfter identifier of the event after which the answer is resumed, empty
	 * to keep the one that the caller sent
	 * @return new headers
	 */
	HttpHeaders requestHeaders(BufferedRequest request, GatewayEffect.Send send, Optional<String> resumeAfter);

	/**
	 * Returns the end-to-end headers of a request that is handed to a peer, without
	 * Content-Length: those that the caller sent.
	 * @param request the caller's request
	 * @param resumeAfter identifier of the event after which the answer is resumed, empty
	 * to keep the one that the caller sent
	 * @return new headers
	 */
	HttpHeaders relayHeaders(BufferedRequest request, Optional<String> resumeAfter);

	/**
	 * Returns the limit of the endpoints that a request would exceed.
	 * @param send the endpoint and how the request is sent
	 * @return description of the excess, empty if the request may be sent
	 */
	Optional<String> exceededLimit(GatewayEffect.Send send);

	/**
	 * Classifies the head of an answer.
	 * @param answer the head
	 * @param request the request that is pending on the connection
	 * @return the meaning of the answer for the request
	 */
	AnswerClass classify(HttpResponse answer, BufferedRequest request);

	/**
	 * Returns which request an answer states that it belongs to. One that does not can be
	 * a further answer to an earlier request of its connection.
	 * @param answer the head
	 * @return the caller's identifier of the request, empty if the answer has none
	 */
	Optional<String> namedRequest(HttpResponse answer);

	/**
	 * Returns what an answer states about the run that it is the answer of.
	 * @param answer the head
	 * @return the statement of the endpoint, empty if there is none
	 */
	Optional<String> receipt(HttpResponse answer);

	/**
	 * Returns whether callers take a status as the promise that their request has not
	 * run. An endpoint may give it to a request that has run.
	 * @param status a status code
	 * @return true if callers send the request again, whatever its kind
	 */
	boolean promisesNotRun(int status);

	/**
	 * Returns the headers of an answer that are forwarded to the caller.
	 * @param answer the head
	 * @return new headers without hop-by-hop headers
	 */
	HttpHeaders answerHeaders(HttpResponse answer);

	/**
	 * Returns the load that an endpoint reports with an answer.
	 * @param answer the head of any answer
	 * @return the load, empty if it is missing or malformed
	 */
	Optional<ObservedLoad> reportedLoad(HttpResponse answer);

	/**
	 * Returns what an answer says about the requests that its endpoint accepts.
	 * @param status status of any answer
	 * @param headers headers of the answer
	 * @return the notices, with malformed reports for values that cannot be read or are
	 * ambiguous; a back-off only from an answer that turns a request away
	 */
	EndpointNotices notices(int status, HttpHeaders headers);

	/**
	 * Returns the endpoint that a refusal names as its cause.
	 * @param answer the head of a refusal
	 * @return identifier or address, empty if none is named
	 */
	Optional<String> reportedFault(HttpResponse answer);

	/**
	 * Returns the call that reserves engine memory or renews a reservation.
	 * @param effect the reservation
	 * @return the call
	 */
	EndpointCall reserveMemory(GatewayEffect.ReserveMemory effect);

	/**
	 * Returns the call that releases reserved engine memory.
	 * @param effect the reservation
	 * @return the call
	 */
	EndpointCall releaseMemory(GatewayEffect.ReleaseMemory effect);

	/**
	 * Decodes the result of a call that reserves memory.
	 * @param result the result
	 * @return whether the memory is reserved, empty if unknown
	 */
	Optional<Boolean> reservationGranted(CallResult result);

}
