package io.mulberrylift.gateway.endpoint;

import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.forwarding.AttemptOutcome;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.gateway.caller.BufferedRequest;
import io.mulberrylift.gateway.http.JoinedAnswer;
import io.mulberrylift.gateway.pressure.BodyWriter;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * A connection to an endpoint, which carries one attempt at a time.
 *
 * <p>
 * Not thread-safe; confined to the event loop. Bytes received while no attempt is in
 * progress close the connection: part of a head would be put before the next answer.
 * </p>
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {

	private final EndpointPool pool;

	private final EndpointResponseDecoder decoder;

	private final EndpointId endpoint;

	/** Number of the connection in this process. */
	private final long number;

	private EndpointChannel channel;

	private EndpointAttempt attempt;

	private Optional<BodyWriter> requestWriter = Optional.empty();

	private final CarriedRequests carried = new CarriedRequests();

	private boolean headRead;

	private boolean skippingAnswer;

	/** Searches the body of the current answer if it is skipped. */
	private StatusLineSearch skippedBody = new StatusLineSearch();

	/** Bytes of answers to other requests that were received in the attempt. */
	private long skippedBytes;

	/** Whether the answer has a length, is sent in chunks or has no body. */
	private boolean framed;

	private boolean reusable;

	private boolean requestWritten;

	private long maxIdleMillis = KeepAliveTimeout.DEFAULT_MILLIS;

	private long idleSinceMillis;

	EndpointConnection(EndpointPool pool, EndpointResponseDecoder decoder, EndpointId endpoint, long number) {
		this.pool = Objects.requireNonNull(pool, "pool");
		this.decoder = Objects.requireNonNull(decoder, "decoder");
		this.endpoint = Objects.requireNonNull(endpoint, "endpoint");
		this.number = number;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = (EndpointChannel) context.channel();
	}

	boolean isUsable(long nowMillis) {
		return this.channel.isActive() && !this.decoder.hasFurtherBytes()
				&& nowMillis - this.idleSinceMillis < this.maxIdleMillis;
	}

	/**
	 * Returns whether a further answer to an earlier request could not be taken for the
	 * answer to a request, or hide it.
	 * @param request the request
	 * @return {@code false} if the connection may have carried it, or has carried
	 * requests whose answers have a body while its answer has none, or the reverse
	 */
	boolean mayCarry(BufferedRequest request) {
		boolean sameFraming = this.carried.size() == 0
				|| this.decoder.isBodyless() == request.method().equals(HttpMethod.HEAD);
		return sameFraming && !this.carried.mayContain(request.head().attemptId());
	}

	void markIdle(long nowMillis) {
		this.idleSinceMillis = nowMillis;
	}

	void close() {
		if (this.decoder.hasFurtherBytes()) {
			handleUnawaited(Optional.empty());
		}
		this.channel.close();
	}

	void send(EndpointAttempt next) {
		this.attempt = next;
		this.carried.add(next.request().head().attemptId());
		next.setConnection(this.number, this.carried.size());
		this.headRead = false;
		this.skippingAnswer = false;
		this.skippedBytes = 0;
		this.requestWritten = false;
		byte[] body = next.request().body();
		HttpMethod method = next.request().method();
		this.decoder.setBodyless(method.equals(HttpMethod.HEAD));
		HttpHeaders headers = next.requestHeaders();
		if (body.length > 0 || next.request().headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		}
		this.channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, next.request().target(), headers));
		BodyWriter writer = new BodyWriter(this.channel, body, (sent) -> {
			if (this.attempt == next) {
				this.requestWritten = sent;
				next.setSendingWaits(false);
			}
		});
		this.requestWriter = Optional.of(writer);
		writer.advance();
		if (this.attempt == next && !this.requestWritten) {
			next.setSendingWaits(true);
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.attempt != null && this.channel.isWritable()) {
			this.requestWriter.ifPresent(BodyWriter::advance);
		}
	}

	/**
	 * Closes the connection if it carries the attempt.
	 * @param cancelled the attempt
	 */
	void cancel(EndpointAttempt cancelled) {
		if (this.attempt == cancelled) {
			this.attempt = null;
			this.channel.close();
		}
	}

	void setReading(boolean reading) {
		this.channel.config().setAutoRead(reading);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			handleMessage((HttpObject) message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void handleMessage(HttpObject message) {
		if (this.attempt == null) {
			handleUnawaited(Optional.of(message));
			return;
		}
		if (message.decoderResult().isFailure()) {
			boolean oversized = message.decoderResult().cause() instanceof TooLongFrameException;
			fail((oversized) ? AttemptOutcome.OVERSIZED : AttemptOutcome.GARBLED);
			return;
		}
		if (message instanceof HttpResponse response && !handleHead(response)) {
			return;
		}
		if (message instanceof HttpContent content) {
			handleBody(content);
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		if (this.attempt == null && this.decoder.hasFurtherBytes()) {
			handleUnawaited(Optional.empty());
		}
		context.fireChannelReadComplete();
	}

	private void handleUnawaited(Optional<HttpObject> message) {
		if (this.channel.isActive()) {
			this.pool.answeredIdle(this.endpoint, this.number, this.carried.size(), message);
			this.channel.close();
		}
	}

	private boolean handleHead(HttpResponse response) {
		this.skippedBody = new StatusLineSearch();
		if (JoinedAnswer.isJoined(response)) {
			fail(AttemptOutcome.GARBLED);
			return false;
		}
		if (response.status().code() < HttpResponseStatus.OK.code()) {
			this.skippingAnswer = true;
			this.attempt.answerSkipped(response);
			return true;
		}
		EndpointAttempt current = this.attempt;
		this.skippingAnswer = !current.headReceived(response, this.carried.size() > 1);
		Optional<AttemptOutcome> failure = (this.skippingAnswer) ? Optional.empty() : current.failureAtHead();
		if (failure.isPresent()) {
			fail(failure.get());
			return false;
		}
		if (!this.skippingAnswer) {
			this.headRead = true;
			this.framed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
			this.reusable = HttpUtil.isKeepAlive(response) && this.framed && !this.carried.isFull();
			this.maxIdleMillis = KeepAliveTimeout.millis(response);
		}
		return true;
	}

	private void handleBody(HttpContent content) {
		if (this.skippingAnswer) {
			this.skippedBytes += content.content().readableBytes();
			if (this.skippedBody.finds(content)) {
				fail(AttemptOutcome.GARBLED);
			}
			else if (content instanceof LastHttpContent) {
				this.skippingAnswer = false;
			}
			else if (this.skippedBytes > EndpointAttempt.MAX_ANSWER_BYTES) {
				fail(AttemptOutcome.OVERSIZED);
			}
			return;
		}
		Optional<AttemptOutcome> failure = this.attempt.bodyReceived(content.content());
		if (failure.isPresent()) {
			fail(failure.get());
			return;
		}
		if (this.attempt == null) {
			return;
		}
		if (content instanceof LastHttpContent) {
			if (isCutOff()) {
				return;
			}
			EndpointAttempt done = this.attempt;
			this.attempt = null;
			if (this.reusable && this.requestWritten && this.channel.isActive()) {
				this.pool.release(this, this.endpoint);
			}
			else {
				this.channel.close();
			}
			done.complete(this.framed);
		}
		else if (!this.attempt.isCallerWritable()) {
			this.channel.config().setAutoRead(false);
			this.attempt.setReadingPaused(true);
		}
	}

	/**
	 * Returns whether the decoder ended an answer without a length only because the
	 * connection was reset or failed.
	 * @return {@code true} if the end of the answer was not received
	 */
	private boolean isCutOff() {
		return !this.framed && !this.channel.isActive() && !this.channel.isEndOfStream();
	}

	private void fail(AttemptOutcome outcome) {
		EndpointAttempt failing = this.attempt;
		this.attempt = null;
		this.channel.close();
		if (failing != null) {
			failing.end((this.headRead && outcome == AttemptOutcome.BROKEN) ? AttemptOutcome.BROKEN_MIDWAY : outcome);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.pool.connectionClosed(this);
		EndpointAttempt open = this.attempt;
		this.attempt = null;
		if (open != null) {
			open.connectionLost();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

}
