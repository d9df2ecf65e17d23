package io.mulberrylift.daemon.endpoint;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.OptionalLong;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;

import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.model.AttemptFailure;
import io.mulberrylift.daemon.exchange.AnswerSink;
import io.mulberrylift.daemon.exchange.CallerExchange;
import io.mulberrylift.daemon.outbound.ReplyTooLargeException;
import io.mulberrylift.daemon.outbound.SendGate;

/**
 * One attempt in progress.
 *
 * <p>
 * Safe for use by several threads. Exactly one event reports its end, or none when it is
 * cancelled. Nothing is written to the caller's sink once {@link #cancel()} has returned.
 * </p>
 */
abstract class RunningAttempt {

	private final AttemptEffect.Dispatch dispatch;

	private final CallerExchange exchange;

	private final AttemptServices services;

	private final Runnable onEnd;

	private final SendGate gate;

	private final AtomicBoolean ended = new AtomicBoolean();

	private final Object writeLock = new Object();

	private boolean cancelled;

	private volatile Future<?> call;

	RunningAttempt(AttemptEffect.Dispatch dispatch, CallerExchange exchange, AttemptServices services, Runnable onEnd) {
		this.dispatch = dispatch;
		this.exchange = exchange;
		this.services = services;
		this.onEnd = onEnd;
		this.gate = new SendGate(services.monotonicMillis(), dispatch.notAfterMonotonicMillis());
	}

	/**
	 * Starts the call to the endpoint. Must not block.
	 * @param address host and port of the endpoint
	 * @return the call
	 * @throws RuntimeException if the request cannot be created; no byte has been sent
	 * then
	 */
	abstract Future<?> call(String address);

	/**
	 * Releases resources that the endpoint may still use for the attempt. Called after
	 * bytes may have been sent.
	 */
	abstract void cleanUpEndpoint();

	final void start(String address) {
		try {
			this.call = call(address);
		}
		catch (RuntimeException ex) {
			transportFailed(ex);
		}
		if (this.ended.get()) {
			closeConnection();
		}
	}

	/**
	 * Cancels the attempt. No event follows.
	 */
	final void cancel() {
		synchronized (this.writeLock) {
			this.cancelled = true;
		}
		if (!this.ended.compareAndSet(false, true)) {
			return;
		}
		this.onEnd.run();
		boolean mayHaveBeenSent = this.gate.close();
		closeConnection();
		if (mayHaveBeenSent) {
			cleanUpEndpoint();
		}
	}

	/**
	 * Writes to the caller's sink unless the attempt was cancelled.
	 * @param write writes to the sink
	 */
	final void write(SinkWrite write) {
		synchronized (this.writeLock) {
			if (!this.cancelled) {
				write.writeTo(this.exchange.sink());
			}
		}
	}

	final void started() {
		if (!this.ended.get()) {
			this.services.events().submit((at) -> new AttemptEvent.Started(at, this.dispatch.attemptId()));
		}
	}

	final void finished(int promptTokens, int cachedTokens, int outputTokens) {
		if (!this.ended.compareAndSet(false, true)) {
			return;
		}
		this.onEnd.run();
		var answer = this.exchange.storedAnswer();
		this.services.events()
			.submit((at) -> new AttemptEvent.Finished(at, this.dispatch.attemptId(), promptTokens, cachedTokens,
					outputTokens, answer));
	}

	final void failed(AttemptFailure failure, OptionalLong retryAfterMillis, String detail) {
		if (!this.ended.compareAndSet(false, true)) {
			return;
		}
		this.onEnd.run();
		if (failure.mayHaveRun()) {
			closeConnection();
			cleanUpEndpoint();
		}
		int deliveredTokens = this.exchange.sink().acceptedTokens();
		this.services.events()
			.submit((at) -> new AttemptEvent.Failed(at, this.dispatch.attemptId(), failure, deliveredTokens,
					retryAfterMillis, detail));
	}

	/**
	 * Ends the attempt after a failure of its connection or of the request itself.
	 * @param cause the failure
	 */
	final void transportFailed(Exception cause) {
		String detail = (cause.getMessage() != null) ? cause.getMessage() : cause.getClass().getSimpleName();
		boolean mayHaveBeenSent = this.gate.close();
		failed((mayHaveBeenSent) ? classify(cause) : AttemptFailure.NOT_SENT, OptionalLong.empty(), detail);
	}

	private static AttemptFailure classify(Exception cause) {
		if (cause instanceof SocketTimeoutException) {
			return AttemptFailure.RESPONSE_TIMEOUT;
		}
		if (cause instanceof MalformedAnswerException) {
			return AttemptFailure.TRUNCATED;
		}
		if (cause instanceof ReplyTooLargeException || !(cause instanceof IOException)) {
			return AttemptFailure.ENDPOINT_ERROR;
		}
		return AttemptFailure.CONNECTION_LOST;
	}

	private void closeConnection() {
		Future<?> current = this.call;
		if (current != null) {
			current.cancel(true);
		}
	}

	final boolean isEnded() {
		return this.ended.get();
	}

	final AttemptEffect.Dispatch dispatch() {
		return this.dispatch;
	}

	final CallerExchange exchange() {
		return this.exchange;
	}

	final AttemptServices services() {
		return this.services;
	}

	final SendGate gate() {
		return this.gate;
	}

	/**
	 * A write operation on a sink.
	 */
	@FunctionalInterface
	interface SinkWrite {

		/**
		 * Writes to the sink.
		 * @param sink the sink
		 */
		void writeTo(AnswerSink sink);

	}

}
