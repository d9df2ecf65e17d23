package io.mulberrylift.gateway.endpoint;

import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.forwarding.AnswerOrigin;
import io.mulberrylift.core.forwarding.AttemptOutcome;
import io.mulberrylift.core.forwarding.GatewayEffect;
import io.mulberrylift.gateway.caller.BufferedRequest;
import io.mulberrylift.gateway.http.JoinedAnswer;
import io.mulberrylift.gateway.logging.EventLog;
import io.mulberrylift.gateway.pressure.BodyBuffer;
import io.mulberrylift.gateway.pressure.HeldBytes;
import io.mulberrylift.gateway.pressure.Pressure;
import io.mulberrylift.gateway.pressure.WaitingConnections;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/**
 * An attempt to have a request answered by one endpoint.
 *
 * <p>
 * Not thread-safe; confined to the event loop. Reports its end at most once.
 * </p>
 */
public final class EndpointAttempt {

	private static final String EVENT_STREAM = "text/event-stream";

	/** Maximum size of an event of a stream. */
	private static final int MAX_EVENT_BYTES = 1024 * 1024;

	/** Maximum size of an answer that is held until it is complete. */
	static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

	private final GatewayEffect.Send send;

	private final ForwardedAnswer answer;

	private final EndpointProtocol protocol;

	private final AttemptListener listener;

	private final Pressure pressure;

	/** Accounts for the incomplete event of a stream. */
	private final HeldBytes.Lease eventLease;

	private final Optional<String> resumeAfter;

	private final Optional<ResumedEvents> resumedEvents;

	private final EventSplitter splitter = new EventSplitter(MAX_EVENT_BYTES);

	private final BodyBuffer bufferedBody;

	private final StatusLineSearch statusLineSearch = new StatusLineSearch();

	/** Whether the buffered body contains a status line. */
	private boolean statusLineRead;

	private AnswerClass answerClass = AnswerClass.INVALID;

	private int status;

	private HttpHeaders headers;

	/** Number of the connection that carries the attempt, 0 before it is sent. */
	private long connection;

	private int requestOnConnection;

	private int skippedAnswers;

	private Optional<String> receipt = Optional.empty();

	private boolean headRead;

	/** Whether the answer is an event stream, as its head says. */
	private boolean streamed;

	/** Whether the answer accounts for the buffered body from now on. */
	private boolean delivered;

	private boolean readingPaused;

	private boolean ended;

	EndpointAttempt(GatewayEffect.Send send, ForwardedAnswer answer, EndpointProtocol protocol,
			AttemptListener listener, Pressure pressure) {
		this.send = Objects.requireNonNull(send, "send");
		this.answer = Objects.requireNonNull(answer, "answer");
		this.protocol = Objects.requireNonNull(protocol, "protocol");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.pressure = Objects.requireNonNull(pressure, "pressure");
		this.eventLease = pressure.held().lease();
		this.bufferedBody = new BodyBuffer(pressure.held().lease(), MAX_ANSWER_BYTES);
		this.resumeAfter = answer.lastEventId();
		this.resumedEvents = this.resumeAfter.map(ResumedEvents::new);
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

	/**
	 * Records which connection carries the attempt.
	 * @param number number of the connection in this process
	 * @param request number of the attempt among those that it has carried, from 1
	 */
	void setConnection(long number, int request) {
		this.connection = number;
		this.requestOnConnection = request;
	}

	boolean isEnded() {
		return this.ended;
	}

	boolean isCallerWritable() {
		return this.answer.exchange().isEnded() || this.answer.exchange().isWritable();
	}

	/**
	 * Records that the answer isn't read any more or is read again.
	 * @param paused whether reading is paused from now on
	 */
	void setReadingPaused(boolean paused) {
		if (this.readingPaused == paused || this.ended) {
			return;
		}
		this.readingPaused = paused;
		if (paused) {
			this.pressure.waiting().begin(WaitingConnections.Reason.STREAM_READING, id());
		}
		else {
			this.pressure.waiting().end(WaitingConnections.Reason.STREAM_READING, id());
		}
		this.listener.readingPaused(id(), paused);
	}

	/**
	 * Records whether the body of the request waits for the endpoint.
	 * @param waits whether it is not sent completely
	 */
	void setSendingWaits(boolean waits) {
		if (waits) {
			this.pressure.waiting().begin(WaitingConnections.Reason.REQUEST_SENDING, id());
		}
		else {
			this.pressure.waiting().end(WaitingConnections.Reason.REQUEST_SENDING, id());
		}
	}

	/**
	 * Handles the head of an answer.
	 * @param response the head
	 * @param earlierRequests whether the connection has carried other requests
	 * @return {@code false} if the answer belongs to another request and must be skipped
	 */
	boolean headReceived(HttpResponse response, boolean earlierRequests) {
		this.protocol.reportedLoad(response)
			.ifPresent((load) -> this.listener.loadReported(this.send.endpoint().id(), load));
		AnswerClass classified = this.protocol.classify(response, request());
		if (classified == AnswerClass.OTHER_REQUEST) {
			answerSkipped(response);
			return false;
		}
		boolean unattributed = earlierRequests && this.protocol.namedRequest(response).isEmpty();
		if (unattributed || response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
			classified = AnswerClass.INVALID;
		}
		if (classified.isFromExpectedEndpoint()) {
			this.listener.noticesReceived(this.send.endpoint().id(), id(),
					this.protocol.notices(response.status().code(), response.headers()));
		}
		if (classified == AnswerClass.NOT_RUN) {
			this.protocol.reportedFault(response).ifPresent(this.listener::faultReported);
		}
		this.answerClass = (isFalsePromise(classified, response)) ? AnswerClass.FALSE_PROMISE : classified;
		this.status = response.status().code();
		this.headers = this.protocol.answerHeaders(response);
		this.receipt = this.protocol.receipt(response);
		this.headRead = true;
		if (this.answer.isBegun()) {
			this.listener.resumptionAnswered(id(), this.resumeAfter, this.status,
					Optional.ofNullable(response.headers().get(HttpHeaderNames.CONTENT_TYPE)));
		}
		this.streamed = this.answerClass == AnswerClass.VALID && this.send.kind().isStream() && isEventStream(response);
		if (this.streamed) {
			this.answer.bufferHead(this.status, this.headers);
		}
		return true;
	}

	/**
	 * Records the head of an answer that is not the final answer to this attempt.
	 * @param response the head
	 */
	void answerSkipped(HttpResponse response) {
		this.skippedAnswers++;
		// An endpoint that writes such answers without end must not fill the log.
		if (this.skippedAnswers == 1) {
			this.listener.answerSkipped(new SkippedAnswer(this.send.endpoint().id(), this.connection,
					this.requestOnConnection, Optional.of(id()), response.status().code(),
					this.protocol.namedRequest(response), this.protocol.receipt(response)));
		}
	}

	/**
	 * Returns whether callers would take the status of an answer for the promise that the
	 * request has not run, though it may run only once and the endpoint promises nothing.
	 * @param classified meaning of the answer
	 * @param response its head
	 * @return {@code true} if its status must not be passed on
	 */
	private boolean isFalsePromise(AnswerClass classified, HttpResponse response) {
		boolean passedOn = classified == AnswerClass.VALID || classified == AnswerClass.FAILURE;
		return passedOn && !this.send.kind().isRepeatable() && this.protocol.promisesNotRun(response.status().code());
	}

	private static boolean isEventStream(HttpResponse response) {
		CharSequence mediaType = HttpUtil.getMimeType(response);
		return response.status().code() == HttpResponseStatus.OK.code() && mediaType != null
				&& EVENT_STREAM.equalsIgnoreCase(mediaType.toString().trim());
	}

	/**
	 * Returns whether an answer whose head was received can't continue the stream that
	 * the caller has the beginning of, so that the rest of it isn't waited for.
	 * @return the outcome of the attempt, empty if the answer is read on
	 */
	Optional<AttemptOutcome> failureAtHead() {
		return (this.streamed || !this.answer.isBegun()) ? Optional.empty() : Optional.of(unstreamedOutcome());
	}

	/**
	 * Returns the outcome of an answer that is neither a stream nor passed on.
	 * @return the outcome, which does not depend on the body
	 */
	private AttemptOutcome unstreamedOutcome() {
		return switch (this.answerClass) {
			case VALID, FAILURE -> AttemptOutcome.ENDPOINT_ERROR;
			case NOT_RUN -> AttemptOutcome.REFUSED_FULL;
			case REJECTED -> AttemptOutcome.REJECTED;
			case MISDIRECTED -> AttemptOutcome.MISDIRECTED;
			case FALSE_PROMISE -> AttemptOutcome.FALSE_PROMISE;
			default -> AttemptOutcome.GARBLED;
		};
	}

	/**
	 * Handles part of the body.
	 * @param bytes the bytes, read to their end
	 * @return the outcome with which the rest of the answer is given up: the answer, one
	 * of its events or all buffered answers exceed their maximum size, it doesn't
	 * continue the stream that the caller has, or it goes on with another answer; empty
	 * to read on
	 */
	Optional<AttemptOutcome> bodyReceived(ByteBuf bytes) {
		if (this.streamed) {
			return forwardEvents(bytes);
		}
		this.statusLineRead |= this.statusLineSearch.finds(bytes);
		return (this.bufferedBody.append(bytes)) ? Optional.empty() : Optional.of(AttemptOutcome.OVERSIZED);
	}

	private Optional<AttemptOutcome> forwardEvents(ByteBuf bytes) {
		try {
			for (StreamEvent event : this.splitter.split(bytes)) {
				if (this.ended) {
					return Optional.empty();
				}
				ResumedEvents.Place place = this.resumedEvents.map((events) -> events.next(event))
					.orElse(ResumedEvents.Place.NEW);
				if (JoinedAnswer.isEvent(event.bytes())) {
					return Optional.of(AttemptOutcome.BROKEN_MIDWAY);
				}
				if (place == ResumedEvents.Place.UNKNOWN) {
					return Optional.of(AttemptOutcome.ENDPOINT_ERROR);
				}
				if (place == ResumedEvents.Place.NEW) {
					this.answer.forward(event);
				}
				this.listener.chunkReceived(id());
			}
			boolean held = this.ended || this.eventLease.resize(this.splitter.bufferedBytes());
			return (held) ? Optional.empty() : Optional.of(AttemptOutcome.OVERSIZED);
		}
		catch (IllegalStateException ex) {
			return Optional.of(AttemptOutcome.OVERSIZED);
		}
	}

	/**
	 * Ends the attempt after the answer was received completely.
	 * @param framed whether the answer itself states where it ends; otherwise it ended
	 * with its connection
	 */
	void complete(boolean framed) {
		switch (this.answerClass) {
			case VALID -> completeValid((framed) ? AttemptOutcome.COMPLETED : AttemptOutcome.COMPLETED_AT_CLOSE);
			case FAILURE -> {
				deliverBuffered();
				end(AttemptOutcome.ENDPOINT_ERROR);
			}
			default -> end(unstreamedOutcome());
		}
	}

	private void completeValid(AttemptOutcome completed) {
		if (!this.streamed) {
			if (this.statusLineRead
					&& JoinedAnswer.isContained(this.bufferedBody.toByteArray(), request().head().attemptId())) {
				end(AttemptOutcome.GARBLED);
				return;
			}
			deliverBuffered();
			end(completed);
		}
		else if (this.splitter.hasPartialEvent()) {
			end(AttemptOutcome.BROKEN_MIDWAY);
		}
		else {
			boolean tooEarly = this.resumedEvents.map(ResumedEvents::endsTooEarly).orElse(false);
			end((tooEarly) ? AttemptOutcome.ENDPOINT_ERROR : completed);
		}
	}

	private void deliverBuffered() {
		this.answer.buffer(this.status, this.headers, this.bufferedBody);
		this.delivered = true;
	}

	void connectionLost() {
		end((this.headRead) ? AttemptOutcome.BROKEN_MIDWAY : AttemptOutcome.BROKEN);
	}

	void end(AttemptOutcome outcome) {
		if (!this.ended) {
			abandon();
			this.listener.attemptEnded(id(), outcome, this.status, new AnswerOrigin(this.connection,
					this.requestOnConnection, this.skippedAnswers, EventLog.abbreviated(this.receipt)));
		}
	}

	/**
	 * Ends the attempt without a report to the listener.
	 */
	void abandon() {
		if (!this.ended) {
			setSendingWaits(false);
			this.pressure.waiting().end(WaitingConnections.Reason.STREAM_READING, id());
			this.ended = true;
			this.eventLease.release();
			if (!this.delivered) {
				this.bufferedBody.lease().release();
			}
		}
	}

}
