package io.mulberrylift.daemon.endpoint;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.mulberrylift.core.model.AttemptFailure;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.AsyncResponseConsumer;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes a model's answer on to the caller.
 *
 * <p>
 * Safe for use by several threads: all state is changed by one task at a time. While the
 * caller reads slowly nothing is parsed and the connection is read no further than its
 * window.
 * </p>
 */
final class ModelAnswerConsumer implements AsyncResponseConsumer<Void> {

	private static final Logger LOGGER = LoggerFactory.getLogger(ModelAnswerConsumer.class);

	private static final int MAX_LINE_BYTES = 1_024 * 1_024;

	private static final int WINDOW_BYTES = 64 * 1_024;

	// An unfinished line, the window and what was read before the pause.
	private static final int MAX_HELD_BYTES = MAX_LINE_BYTES + 4 * WINDOW_BYTES;

	private static final int STATUS_OK = 200;

	private final RunningAttempt attempt;

	private final SerialRunner runner = new SerialRunner(this::unexpected);

	private final LineSplitter lines = new LineSplitter(MAX_LINE_BYTES);

	private volatile int status;

	private FutureCallback<Void> callback;

	private CapacityChannel capacity;

	private boolean paused;

	private boolean started;

	private boolean streamEnded;

	ModelAnswerConsumer(RunningAttempt attempt) {
		this.attempt = attempt;
	}

	/**
	 * Returns whether the engine has answered, so that it knows the try.
	 * @return true once the head of the answer has arrived
	 */
	boolean hasHead() {
		return this.status != 0;
	}

	/**
	 * Takes the failure of the connection.
	 * @param cause the failure
	 */
	void transportFailed(Exception cause) {
		this.runner.run(() -> {
			if (this.status == 0 || this.status == STATUS_OK) {
				this.attempt.transportFailed(cause);
			}
			else {
				turnedAway();
			}
		});
	}

	private void unexpected(RuntimeException ex) {
		LOGGER.warn("endpoint: answer of try {} could not be passed on; giving the try up",
				this.attempt.dispatch().attemptId(), ex);
		truncated("answer could not be passed on");
	}

	@Override
	public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context,
			FutureCallback<Void> resultCallback) {
		this.callback = resultCallback;
		this.status = response.getCode();
		if (entity == null) {
			streamEnd(List.of());
		}
	}

	@Override
	public void informationResponse(HttpResponse response, HttpContext context) {
		// Interim responses carry nothing that is needed.
	}

	@Override
	public void updateCapacity(CapacityChannel capacityChannel) {
		this.runner.run(() -> {
			this.capacity = capacityChannel;
			grantCapacity();
		});
	}

	@Override
	public void consume(ByteBuffer source) {
		byte[] bytes = new byte[source.remaining()];
		source.get(bytes);
		this.runner.run(() -> {
			if (!this.attempt.isOver()) {
				take(bytes);
			}
		});
	}

	private void take(byte[] bytes) {
		if (!this.lines.holdsMoreThan(MAX_HELD_BYTES)) {
			this.lines.add(bytes);
			advance();
		}
		else if (this.status == STATUS_OK) {
			truncated("more than " + MAX_HELD_BYTES + " bytes wait for the caller");
		}
	}

	@Override
	public void streamEnd(List<? extends Header> trailers) {
		this.runner.run(() -> {
			this.streamEnded = true;
			advance();
		});
		this.callback.completed(null);
	}

	private void advance() {
		if (this.status != STATUS_OK) {
			if (this.streamEnded) {
				turnedAway();
			}
			return;
		}
		try {
			readLines();
		}
		catch (MalformedAnswerException ex) {
			truncated(ex.getMessage());
		}
	}

	private void readLines() throws MalformedAnswerException {
		while (!this.paused && !this.attempt.isOver()) {
			Optional<ByteBuffer> line = this.lines.next();
			if (line.isEmpty()) {
				if (this.streamEnded) {
					truncated("stream ended without an end line");
				}
				return;
			}
			if (line.get().hasRemaining()) {
				take(AnswerLineParser.parse(line.get()));
			}
		}
	}

	private void take(AnswerLine line) throws MalformedAnswerException {
		if (line instanceof AnswerLine.Tokens tokens) {
			takeTokens(tokens);
		}
		else if (line instanceof AnswerLine.End end) {
			takeEnd(end);
		}
		else if (line instanceof AnswerLine.Error error) {
			this.attempt.failed(AttemptFailure.ENDPOINT_ERROR, OptionalLong.empty(), error.detail());
		}
	}

	private void takeTokens(AnswerLine.Tokens tokens) throws MalformedAnswerException {
		int expected = this.attempt.exchange().sink().acceptedTokens();
		if (tokens.offset() > expected) {
			throw new MalformedAnswerException("tokens " + expected + " to " + tokens.offset() + " are missing");
		}
		if (!this.started && !tokens.text().isEmpty()) {
			this.started = true;
			this.attempt.started();
		}
		this.attempt.write((sink) -> {
			if (!sink.acceptTokens(tokens.offset(), tokens.text())) {
				this.paused = true;
			}
			this.attempt.services().progress().advanced(this.attempt.dispatch().attemptId(), sink.acceptedTokens());
		});
		if (this.paused) {
			this.attempt.exchange().sink().whenWritable(() -> this.runner.run(this::resume));
		}
	}

	private void resume() {
		this.paused = false;
		advance();
		grantCapacity();
	}

	private void takeEnd(AnswerLine.End end) throws MalformedAnswerException {
		int accepted = this.attempt.exchange().sink().acceptedTokens();
		if (end.outputTokens() != accepted) {
			throw new MalformedAnswerException("answer has " + end.outputTokens() + " tokens, " + accepted + " came");
		}
		this.attempt.write((sink) -> sink.acceptEnd(end.finishReason(), end.promptTokens(), end.outputTokens()));
		this.attempt.finished(end.promptTokens(), end.cachedTokens(), end.outputTokens());
	}

	private void grantCapacity() {
		if (this.capacity == null || (this.paused && !this.attempt.isOver())) {
			return;
		}
		CapacityChannel granted = this.capacity;
		this.capacity = null;
		try {
			granted.update(WINDOW_BYTES);
		}
		catch (IOException ex) {
			this.attempt.transportFailed(ex);
		}
	}

	private void truncated(String detail) {
		if (!this.attempt.isOver()) {
			LOGGER.warn("endpoint: answer of {} to try {} is truncated: {}", this.attempt.dispatch().endpoint(),
					this.attempt.dispatch().attemptId(), detail);
			this.attempt.failed(AttemptFailure.TRUNCATED, OptionalLong.empty(), detail);
		}
	}

	private void turnedAway() {
		ErrorReply reply = ErrorReply.parse(this.lines.remaining());
		this.attempt.failed(ErrorReply.failureOf(this.status), reply.retryAfter(), reply.detail());
	}

	@Override
	public void failed(Exception cause) {
		transportFailed(cause);
	}

	@Override
	public void releaseResources() {
		// Held bytes may still wait for a slow caller.
	}

}
