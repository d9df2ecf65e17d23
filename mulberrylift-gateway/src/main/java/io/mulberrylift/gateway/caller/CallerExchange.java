package io.mulberrylift.gateway.caller;

import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.gateway.pressure.HeldBytes;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A caller's request together with its answer.
 *
 * <p>
 * Not thread-safe; confined to the event loop. An answer is either sent completely or cut
 * off in a way that the caller can detect. Calls after the end of the answer have no
 * effect.
 * </p>
 */
public final class CallerExchange {

	private final long id;

	private final BufferedRequest request;

	private final CallerConnection connection;

	/** Accounts for the body of the request. */
	private final HeldBytes.Lease requestLease;

	private boolean answerBegun;

	private boolean ended;

	CallerExchange(long id, BufferedRequest request, CallerConnection connection, HeldBytes.Lease requestLease) {
		this.id = id;
		this.request = Objects.requireNonNull(request, "request");
		this.connection = Objects.requireNonNull(connection, "connection");
		this.requestLease = Objects.requireNonNull(requestLease, "requestLease");
	}

	/**
	 * Returns the identifier of the request.
	 * @return the identifier, unique in this process
	 */
	public long id() {
		return this.id;
	}

	public BufferedRequest request() {
		return this.request;
	}

	/**
	 * Returns whether at least the head of the answer has been sent.
	 * @return {@code true} once the answer has begun
	 */
	public boolean isAnswerBegun() {
		return this.answerBegun;
	}

	/**
	 * Returns whether the caller's connection accepts more bytes.
	 * @return {@code false} while the write buffer of the connection is full, or it holds
	 * bytes and all connections together hold too many
	 */
	public boolean isWritable() {
		return this.connection.isWritable();
	}

	/**
	 * Sends a complete answer. Has no effect if an answer has begun.
	 * @param status the HTTP status of the answer
	 * @param headers end-to-end headers; hop-by-hop headers are added here
	 * @param body the body
	 */
	public void answer(int status, HttpHeaders headers, byte[] body) {
		answer(status, headers, body, Optional.empty());
	}

	/**
	 * Sends a complete answer. Has no effect if an answer has begun.
	 * @param status the HTTP status of the answer
	 * @param headers end-to-end headers; hop-by-hop headers are added here
	 * @param body the body
	 * @param lease accounts for the body; released when it was sent or its connection
	 * closed
	 */
	public void answer(int status, HttpHeaders headers, byte[] body, Optional<HeldBytes.Lease> lease) {
		if (this.ended || this.answerBegun) {
			lease.ifPresent(HeldBytes.Lease::release);
			return;
		}
		this.answerBegun = true;
		end();
		this.connection.answer(status, headers, body, lease);
	}

	/**
	 * Sends the head of an answer whose body follows by {@link #write}.
	 * @param status the HTTP status of the answer
	 * @param headers end-to-end headers; hop-by-hop headers are added here
	 */
	public void beginAnswer(int status, HttpHeaders headers) {
		if (!this.ended && !this.answerBegun) {
			this.answerBegun = true;
			this.connection.beginAnswer(status, headers);
		}
	}

	/**
	 * Sends part of the body of an answer that has begun.
	 * @param bytes the bytes; released by this method or after they were sent
	 */
	public void write(ByteBuf bytes) {
		if (this.ended || !this.answerBegun) {
			bytes.release();
			return;
		}
		this.connection.write(bytes);
	}

	/**
	 * Completes an answer that has begun.
	 */
	public void finish() {
		if (!this.ended && this.answerBegun) {
			end();
			this.connection.finish();
		}
	}

	/**
	 * Closes the connection without completing the answer, so that the caller sees it as
	 * truncated.
	 */
	public void abort() {
		if (!this.ended) {
			end();
			this.connection.abort();
		}
	}

	/**
	 * Ends the exchange: nothing more is sent, and the request is not held any more.
	 */
	void end() {
		this.ended = true;
		this.requestLease.release();
	}

	/**
	 * Returns whether the answer was completed or aborted.
	 * @return {@code true} if nothing more can be sent
	 */
	public boolean isEnded() {
		return this.ended;
	}

}
