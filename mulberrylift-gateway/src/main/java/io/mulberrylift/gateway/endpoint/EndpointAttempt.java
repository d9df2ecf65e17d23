package io.mulberrylift.gateway.endpoint;

import java.io.ByteArrayOutputStream;
import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.forwarding.AttemptOutcome;
import io.mulberrylift.core.forwarding.GatewayEffect;
import io.mulberrylift.gateway.caller.BufferedRequest;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * One sending of a request to an endpoint and the answer it brings.
 *
 * <p>
 * Not safe for use by several threads; used on the event loop only. Reports its end once.
 * </p>
 */
public final class EndpointAttempt {

	/** Largest answer that is held until it is whole, in bytes. */
	private static final int MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

	/** Largest event of a stream, in bytes. */
	private static final int MAX_EVENT_BYTES = 1024 * 1024;

	private final GatewayEffect.Send send;

	private final ForwardedAnswer answer;

	private final EndpointProtocol protocol;

	private final AttemptListener listener;

	private final Optional<String> resumeAfter;

	private final EventSplitter splitter = new EventSplitter(MAX_EVENT_BYTES);

	private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream();

	private AnswerClass answerClass = AnswerClass.INVALID;

	private int status;

	private HttpHeaders headers;

	private boolean headRead;

	private boolean ended;

	EndpointAttempt(GatewayEffect.Send send, ForwardedAnswer answer, EndpointProtocol protocol,
			AttemptListener listener) {
		this.send = Objects.requireNonNull(send, "send");
		this.answer = Objects.requireNonNull(answer, "answer");
		this.protocol = Objects.requireNonNull(protocol, "protocol");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.resumeAfter = answer.lastEventId();
	}

	long id() {
		return this.send.attemptId();
	}

	GatewayEffect.Send send() {
		return this.send;
	}

	BufferedRequest request() {
		return this.answer.exchange().request();
	}

	HttpHeaders requestHeaders() {
		return this.protocol.requestHeaders(request(), this.send, this.resumeAfter);
	}

	boolean isEnded() {
		return this.ended;
	}

	boolean isCallerWritable() {
		return this.answer.exchange().isEnded() || this.answer.exchange().isWritable();
	}

	/**
	 * Takes the head of an answer.
	 * @param response the head
	 * @return false when the answer belongs to another request and is to be skipped
	 */
	boolean headReceived(HttpResponse response) {
		this.protocol.reportedLoad(response)
			.ifPresent((load) -> this.listener.loadReported(this.send.endpoint().id(), load));
		AnswerClass read = this.protocol.classify(response, request());
		if (read == AnswerClass.OTHER_REQUEST) {
			return false;
		}
		if (response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
			read = AnswerClass.INVALID;
		}
		if (read == AnswerClass.NOT_RUN) {
			this.protocol.reportedFault(response).ifPresent(this.listener::faultReported);
		}
		this.answerClass = read;
		this.status = response.status().code();
		this.headers = this.protocol.answerHeaders(response);
		this.headRead = true;
		if (read == AnswerClass.VALID && isStreamed()) {
			this.answer.buffer(this.status, this.headers, new byte[0]);
		}
		return true;
	}

	private boolean isStreamed() {
		return this.send.kind().isStream() && this.status < 300;
	}

	/**
	 * Takes a part of the body.
	 * @param bytes the part
	 * @return false when the answer cannot be the endpoint's
	 */
	boolean bodyReceived(ByteBuf bytes) {
		if (this.answerClass == AnswerClass.VALID && isStreamed()) {
			return forwardEvents(bytes);
		}
		if (this.bufferedBody.size() + bytes.readableBytes() > MAX_BUFFERED_BYTES) {
			return false;
		}
		byte[] copy = new byte[bytes.readableBytes()];
		bytes.readBytes(copy);
		this.bufferedBody.writeBytes(copy);
		return true;
	}

	private boolean forwardEvents(ByteBuf bytes) {
		try {
			for (StreamEvent event : this.splitter.split(bytes)) {
				if (this.ended) {
					return true;
				}
				if (!isAlreadyForwarded(event)) {
					this.answer.forward(event);
				}
				this.listener.chunkReceived(id());
			}
			return true;
		}
		catch (IllegalStateException ex) {
			return false;
		}
	}

	private boolean isAlreadyForwarded(StreamEvent event) {
		if (this.resumeAfter.isEmpty() || event.id().isEmpty()) {
			return false;
		}
		try {
			return Long.parseLong(event.id().get()) <= Long.parseLong(this.resumeAfter.get());
		}
		catch (NumberFormatException ex) {
			return false;
		}
	}

	/**
	 * Takes the end of a whole answer.
	 */
	void complete() {
		switch (this.answerClass) {
			case VALID -> completeValid();
			case FAILURE -> {
				this.answer.buffer(this.status, this.headers, this.bufferedBody.toByteArray());
				end(AttemptOutcome.ENDPOINT_ERROR);
			}
			case NOT_RUN -> end(AttemptOutcome.REFUSED_FULL);
			case MISDIRECTED -> end(AttemptOutcome.MISDIRECTED);
			default -> end(AttemptOutcome.GARBLED);
		}
	}

	private void completeValid() {
		if (!isStreamed()) {
			this.answer.buffer(this.status, this.headers, this.bufferedBody.toByteArray());
			end(AttemptOutcome.COMPLETED);
		}
		else {
			end((this.splitter.hasPartialEvent()) ? AttemptOutcome.BROKEN_MIDWAY : AttemptOutcome.COMPLETED);
		}
	}

	void connectionLost() {
		end((this.headRead) ? AttemptOutcome.BROKEN_MIDWAY : AttemptOutcome.BROKEN);
	}

	void end(AttemptOutcome outcome) {
		if (!this.ended) {
			this.ended = true;
			this.listener.attemptEnded(id(), outcome);
		}
	}

	/**
	 * Ends the attempt without a report.
	 */
	void abandon() {
		this.ended = true;
	}

}
