package io.mulberrylift.gateway.endpoint;

import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.gateway.caller.CallerExchange;
import io.mulberrylift.gateway.pressure.BodyBuffer;
import io.mulberrylift.gateway.pressure.HeldBytes;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The answer to a caller's request, to which several attempts may contribute.
 *
 * <p>
 * Not thread-safe; confined to the event loop. A stream has the head of the first attempt
 * that received an event; later attempts add only the events after the last forwarded
 * one.
 * </p>
 */
public final class ForwardedAnswer {

	private final CallerExchange exchange;

	private Optional<String> lastEventId = Optional.empty();

	/** Whether data without an identifier was forwarded since the last identifier. */
	private boolean endsUnidentified;

	private int status = 502;

	private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;

	private byte[] body = new byte[0];

	/** Accounts for the buffered body. */
	private Optional<HeldBytes.Lease> lease = Optional.empty();

	/**
	 * Creates an answer without content.
	 * @param exchange the exchange by which the caller is answered
	 */
	public ForwardedAnswer(CallerExchange exchange) {
		this.exchange = Objects.requireNonNull(exchange, "exchange");
	}

	public CallerExchange exchange() {
		return this.exchange;
	}

	/**
	 * Returns the event after which a further attempt resumes the stream.
	 * @return identifier of the last forwarded event, empty if there is none
	 */
	public Optional<String> lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns why no further attempt can continue the stream.
	 * @return the problem, empty if nothing was forwarded or the last data have an
	 * identifier
	 */
	public Optional<String> resumptionProblem() {
		return (this.endsUnidentified) ? Optional.of("the last data of the begun stream has no identifier")
				: Optional.empty();
	}

	/**
	 * Returns whether part of a stream was forwarded, which only events can continue.
	 * @return {@code true} once the caller has the head of the answer
	 */
	boolean isBegun() {
		return this.exchange.isAnswerBegun();
	}

	void bufferHead(int bufferedStatus, HttpHeaders bufferedHeaders) {
		if (!isBegun()) {
			discard();
			this.status = bufferedStatus;
			this.headers = bufferedHeaders;
		}
	}

	void buffer(int bufferedStatus, HttpHeaders bufferedHeaders, BodyBuffer bufferedBody) {
		// The answer of a request that must not be cancelled may come after its caller
		// left.
		if (isBegun() || this.exchange.isEnded()) {
			bufferedBody.lease().release();
			return;
		}
		bufferHead(bufferedStatus, bufferedHeaders);
		this.body = bufferedBody.toByteArray();
		this.lease = Optional.of(bufferedBody.lease());
	}

	/**
	 * Discards the buffered body, since it will not be delivered.
	 */
	public void discard() {
		this.body = new byte[0];
		this.lease.ifPresent(HeldBytes.Lease::release);
		this.lease = Optional.empty();
	}

	void forward(StreamEvent event) {
		if (!isBegun()) {
			this.exchange.beginAnswer(this.status, this.headers);
		}
		if (event.id().isPresent()) {
			// Only the latest event covers all that the caller has.
			if (this.lastEventId.isEmpty() || !ResumedEvents.isAtMost(event.id().get(), this.lastEventId.get())) {
				this.lastEventId = event.id();
			}
			this.endsUnidentified = false;
		}
		else if (event.isUnidentifiedData()) {
			this.endsUnidentified = true;
		}
		this.exchange.write(Unpooled.wrappedBuffer(event.bytes()));
	}

	/**
	 * Sends the buffered answer, or completes the stream if its head was sent.
	 */
	public void deliver() {
		if (isBegun()) {
			this.exchange.finish();
		}
		else {
			this.exchange.answer(this.status, this.headers, this.body, this.lease);
			this.lease = Optional.empty();
		}
	}

}
