package io.mulberrylift.gateway.endpoint;

import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.gateway.caller.CallerExchange;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The answer to one caller's request over all attempts that contribute to it.
 *
 * <p>
 * Not safe for use by several threads; used on the event loop only. A stream keeps the
 * head of the first attempt that brought an event; later attempts add only events that
 * come after the last one passed on.
 * </p>
 */
public final class ForwardedAnswer {

	private final CallerExchange exchange;

	private Optional<String> lastEventId = Optional.empty();

	private int status = 502;

	private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;

	private byte[] body = new byte[0];

	/**
	 * Creates an answer of which nothing is known.
	 * @param exchange the caller's exchange
	 */
	public ForwardedAnswer(CallerExchange exchange) {
		this.exchange = Objects.requireNonNull(exchange, "exchange");
	}

	/**
	 * Returns the caller's exchange.
	 * @return the exchange
	 */
	public CallerExchange exchange() {
		return this.exchange;
	}

	/**
	 * Returns the event that a further attempt goes on after.
	 * @return the identity of the last event passed on, empty when there is none
	 */
	public Optional<String> lastEventId() {
		return this.lastEventId;
	}

	void buffer(int heldStatus, HttpHeaders heldHeaders, byte[] heldBody) {
		if (!this.exchange.isAnswerBegun()) {
			this.status = heldStatus;
			this.headers = heldHeaders;
			this.body = heldBody;
		}
	}

	void forward(StreamEvent event) {
		if (!this.exchange.isAnswerBegun()) {
			this.exchange.beginAnswer(this.status, this.headers);
		}
		if (event.id().isPresent()) {
			this.lastEventId = event.id();
		}
		this.exchange.write(Unpooled.wrappedBuffer(event.bytes()));
	}

	/**
	 * Sends what is held, or ends what has begun, as whole.
	 */
	public void deliver() {
		if (this.exchange.isAnswerBegun()) {
			this.exchange.finish();
		}
		else {
			this.exchange.answer(this.status, this.headers, this.body);
		}
	}

}
