package io.mulberrylift.gateway.relay;

import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.gateway.caller.BadRequestException;
import io.mulberrylift.gateway.caller.CallerProtocol;
import io.mulberrylift.gateway.caller.RequestHead;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Decodes callers' requests that a peer hands to this instance, with the peer's terms.
 * Stateless.
 */
public final class RelayCallerProtocol implements CallerProtocol {

	private final CallerProtocol callers;

	/**
	 * Creates the protocol.
	 * @param callers decodes the requests as callers sent them
	 */
	public RelayCallerProtocol(CallerProtocol callers) {
		this.callers = Objects.requireNonNull(callers, "callers");
	}

	/**
	 * Decodes the head of a request and removes the peer's terms from its headers.
	 */
	@Override
	public RequestHead readHead(HttpRequest request) throws BadRequestException {
		RelayHeader relay = RelayHeader.parse(request.headers().get(RelayHeader.NAME));
		request.headers().remove(RelayHeader.NAME);
		RequestHead head = this.callers.readHead(request);
		return new RequestHead(head.attemptId(), head.host(), head.path(), head.apiKey(),
				Math.min(head.deadlineMillis(), relay.timeLeftMillis()), head.promptTokens(), head.maxOutputTokens(),
				head.promptParts(), Optional.of(relay.terms()));
	}

}
