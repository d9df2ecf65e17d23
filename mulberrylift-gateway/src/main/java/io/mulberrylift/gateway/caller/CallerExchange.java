package io.mulberrylift.gateway.caller;

import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * One request of a caller and its answer.
 *
 * <p>
 * Not safe for use by several threads; used on the event loop only. The answer is either
 * whole or visibly incomplete. Writing after the end has no effect.
 * </p>
 */
public final class CallerExchange {

	private final long id;

	private final BufferedRequest request;

	private final CallerConnection connection;

	private boolean answerBegun;

	private boolean ended;

	CallerExchange(long id, BufferedRequest request, CallerConnection connection) {
		this.id = id;
		this.request = Objects.requireNonNull(request, "request");
		this.connection = Objects.requireNonNull(connection, "connection");
	}

	/**
	 * Returns the number of the request.
	 * @return the number, unique in this process
	 */
	public long id() {
		return this.id;
	}

	/**
	 * Returns the request.
	 * @return the request
	 */
	public BufferedRequest request() {
		return this.request;
	}

	/**
	 * Returns whether part of the answer has been sent.
	 * @return true if so
	 */
	public boolean isAnswerBegun() {
		return this.answerBegun;
	}

	/**
	 * Returns whether the answer can take more bytes without queueing many.
	 * @return true if so
	 */
	public boolean isWritable() {
		return this.connection.isWritable();
	}

	/**
	 * Sends a whole answer.
	 * @param status status of the HTTP answer
	 * @param headers headers without those of the connection
	 * @param body the body
	 */
	public void answer(int status, HttpHeaders headers, byte[] body) {
		if (!this.ended && !this.answerBegun) {
			this.answerBegun = true;
			this.ended = true;
			this.connection.answer(status, headers, body);
		}
	}

	/**
	 * Sends the head of an answer whose body follows in pieces.
	 * @param status status of the HTTP answer
	 * @param headers headers without those of the connection
	 */
	public void beginAnswer(int status, HttpHeaders headers) {
		if (!this.ended && !this.answerBegun) {
			this.answerBegun = true;
			this.connection.beginAnswer(status, headers);
		}
	}

	/**
	 * Sends a piece of the body.
	 * @param bytes the piece; taken over
	 */
	public void write(ByteBuf bytes) {
		if (this.ended || !this.answerBegun) {
			bytes.release();
			return;
		}
		this.connection.write(bytes);
	}

	/**
	 * Ends the answer as whole.
	 */
	public void finish() {
		if (!this.ended && this.answerBegun) {
			this.ended = true;
			this.connection.finish();
		}
	}

	/**
	 * Ends the answer so that it is visibly incomplete.
	 */
	public void abort() {
		if (!this.ended) {
			this.ended = true;
			this.connection.abort();
		}
	}

	/**
	 * Returns whether the answer has ended.
	 * @return true if so
	 */
	public boolean isEnded() {
		return this.ended;
	}

}
