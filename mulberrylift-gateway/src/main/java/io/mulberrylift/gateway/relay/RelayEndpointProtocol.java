package io.mulberrylift.gateway.relay;

import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.forwarding.GatewayEffect;
import io.mulberrylift.core.forwarding.RefusalCause;
import io.mulberrylift.core.forwarding.RelayTerms;
import io.mulberrylift.core.limit.EndpointNotices;
import io.mulberrylift.core.limit.RequestLimitReport;
import io.mulberrylift.core.placement.ObservedLoad;
import io.mulberrylift.gateway.caller.BufferedRequest;
import io.mulberrylift.gateway.endpoint.AnswerClass;
import io.mulberrylift.gateway.endpoint.EndpointCall;
import io.mulberrylift.gateway.endpoint.EndpointProtocol;
import io.mulberrylift.gateway.http.CallResult;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Encodes requests that are handed to a peer and decodes its answers, which are those of
 * an endpoint or refusals of the peer. Immutable.
 *
 * <p>
 * Each request has a connection of its own. One that is kept could be closed by the peer
 * while a request is sent, which would then count as one that may have run.
 * </p>
 */
public final class RelayEndpointProtocol implements EndpointProtocol {

	private final EndpointProtocol endpoints;

	private final RelayTerms terms;

	/**
	 * Creates the protocol for one attempt.
	 * @param endpoints decodes the answers of endpoints
	 * @param terms terms for the peer
	 */
	public RelayEndpointProtocol(EndpointProtocol endpoints, RelayTerms terms) {
		this.endpoints = Objects.requireNonNull(endpoints, "endpoints");
		this.terms = Objects.requireNonNull(terms, "terms");
	}

	/**
	 * Marks an answer to a peer as a refusal of this instance.
	 * @param headers headers of the answer
	 * @param cause cause of the refusal
	 */
	public static void markRefusal(HttpHeaders headers, RefusalCause cause) {
		headers.set(RelayHeader.REFUSAL_NAME, cause.name());
	}

	@Override
	public HttpHeaders requestHeaders(BufferedRequest request, GatewayEffect.Send send, Optional<String> resumeAfter) {
		HttpHeaders headers = relayHeaders(request, resumeAfter);
		headers.set(RelayHeader.NAME, new RelayHeader(Math.max(1, send.timeLeftMillis()), this.terms).value());
		headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		return headers;
	}

	@Override
	public HttpHeaders relayHeaders(BufferedRequest request, Optional<String> resumeAfter) {
		return this.endpoints.relayHeaders(request, resumeAfter);
	}

	@Override
	public Optional<String> exceededLimit(GatewayEffect.Send send) {
		return Optional.empty();
	}

	@Override
	public AnswerClass classify(HttpResponse answer, BufferedRequest request) {
		if (!answer.headers().contains(RelayHeader.REFUSAL_NAME)) {
			return this.endpoints.classify(answer, request);
		}
		int status = answer.status().code();
		boolean mayHaveRun = status == RefusalCause.FAILED.status() || status == RefusalCause.EXPIRED.status();
		return (mayHaveRun) ? AnswerClass.INVALID : AnswerClass.NOT_RUN;
	}

	@Override
	public Optional<String> namedRequest(HttpResponse answer) {
		return this.endpoints.namedRequest(answer);
	}

	@Override
	public Optional<String> receipt(HttpResponse answer) {
		return this.endpoints.receipt(answer);
	}

	@Override
	public boolean promisesNotRun(int status) {
		return this.endpoints.promisesNotRun(status);
	}

	@Override
	public HttpHeaders answerHeaders(HttpResponse answer) {
		return this.endpoints.answerHeaders(answer);
	}

	@Override
	public Optional<ObservedLoad> reportedLoad(HttpResponse answer) {
		return Optional.empty();
	}

	@Override
	public EndpointNotices notices(int status, HttpHeaders headers) {
		return EndpointNotices.of(RequestLimitReport.unlimited());
	}

	@Override
	public Optional<String> reportedFault(HttpResponse answer) {
		return Optional.empty();
	}

	@Override
	public EndpointCall reserveMemory(GatewayEffect.ReserveMemory effect) {
		throw new UnsupportedOperationException("Memory is reserved at endpoints only");
	}

	@Override
	public EndpointCall releaseMemory(GatewayEffect.ReleaseMemory effect) {
		throw new UnsupportedOperationException("Memory is reserved at endpoints only");
	}

	@Override
	public Optional<Boolean> reservationGranted(CallResult result) {
		throw new UnsupportedOperationException("Memory is reserved at endpoints only");
	}

}
