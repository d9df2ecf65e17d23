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
 * Forwards an engine's answer to the caller.
 *
 * <p>
 * Safe for use by several threads: answer state is changed by one task at a time. While
 * the caller reads too slowly, parsing is paused and the connection is read no further
 * than its window.
 * </p>
 */
final class ModelAnswerConsumer implements AsyncResponseConsumer<Void> {

	private static final Logger LOGGER = LoggerFactory.getLogger(ModelAnswerConsumer.class);

	private static final int MAX_LINE_BYTES = 1_024 * 1_024;

	private static final int WINDOW_BYTES = 64 * 1_024;

	// An incomplete line, the window and the bytes read before the pause.
	private static final int MAX_BUFFERED_BYTES = MAX_LINE_BYTES + 4 * WINDOW_BYTES;

	private static final int STATUS_OK = 200;

	private final RunningAttempt attempt;

	private final SerialExecutor executor = new SerialExecutor(this::processingFailed);

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
	 * Checks whether the engine has started to answer, so that it is known to have
	 * received the attempt.
	 * @return true once the head of the answer has been received
	 */
	boolean isHeadReceived() {
		return this.status != 0;
	}

	/**
	 * Handles a failure of the connection.
	 * @param cause the failure
	 */
	void transportFailed(Exception cause) {
		this.executor.execute(() -> {
			if (this.status == 0 || this.status == STATUS_OK) {
				this.attempt.transportFailed(cause);
			}
			else {
				failByStatus();
			}
		});
	}

	private void processingFailed(RuntimeException ex) {
		LOGGER.warn("endpoint: answer of attempt {} could not be forwarded to the caller; ending the attempt",
				this.attempt.dispatch().attemptId(), ex);
		truncated("answer could not be forwarded to the caller");
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
		// Interim (1xx) responses are ignored.
	}

	@Override
	public void updateCapacity(CapacityChannel capacityChannel) {
		this.executor.execute(() -> {
			this.capacity = capacityChannel;
			grantCapacity();
		});
	}

	@Override
	public void consume(ByteBuffer source) {
		byte[] bytes = new byte[source.remaining()];
		source.get(bytes);
		this.executor.execute(() -> {
			if (!this.attempt.isEnded()) {
				process(bytes);
			}
		});
	}

	private void process(byte[] bytes) {
		if (!this.lines.buffersMoreThan(MAX_BUFFERED_BYTES)) {
			this.lines.append(bytes);
			processBuffered();
		}
		else if (this.status == STATUS_OK) {
			truncated("more than " + MAX_BUFFERED_BYTES + " bytes are buffered for the caller");
		}
	}

	@Override
	public void streamEnd(List<? extends Header> trailers) {
		this.executor.execute(() -> {
			this.streamEnded = true;
			processBuffered();
		});
		this.callback.completed(null);
	}

	private void processBuffered() {
		if (this.status != STATUS_OK) {
			if (this.streamEnded) {
				failByStatus();
			}
			return;
		}
		try {
			processLines();
		}
		catch (MalformedAnswerException ex) {
			truncated(ex.getMessage());
		}
	}

	private void processLines() throws MalformedAnswerException {
		while (!this.paused && !this.attempt.isEnded()) {
			Optional<ByteBuffer> line = this.lines.nextLine();
			if (line.isEmpty()) {
				if (this.streamEnded) {
					truncated("stream ended without an end line");
				}
				return;
			}
			if (line.get().hasRemaining()) {
				process(AnswerLineParser.parse(line.get()));
			}
		}
	}

	private void process(AnswerLine line) throws MalformedAnswerException {
		if (line instanceof AnswerLine.Tokens tokens) {
			processTokens(tokens);
		}
		else if (line instanceof AnswerLine.End end) {
			processEnd(end);
		}
		else if (line instanceof AnswerLine.Error error) {
			this.attempt.failed(AttemptFailure.ENDPOINT_ERROR, OptionalLong.empty(), error.detail());
		}
	}

	private void processTokens(AnswerLine.Tokens tokens) throws MalformedAnswerException {
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
			this.attempt.services()
				.progress()
				.tokensAccepted(this.attempt.dispatch().attemptId(), sink.acceptedTokens());
		});
		if (this.paused) {
			this.attempt.exchange().sink().whenWritable(() -> this.executor.execute(this::resume));
		}
	}

	private void resume() {
		this.paused = false;
		processBuffered();
		grantCapacity();
	}

	private void processEnd(AnswerLine.End end) throws MalformedAnswerException {
		int accepted = this.attempt.exchange().sink().acceptedTokens();
		if (end.outputTokens() != accepted) {
			throw new MalformedAnswerException(
					"end line counts " + end.outputTokens() + " tokens, but " + accepted + " were accepted");
		}
		this.attempt.write((sink) -> sink.acceptEnd(end.finishReason(), end.promptTokens(), end.outputTokens()));
		this.attempt.finished(end.promptTokens(), end.cachedTokens(), end.outputTokens());
	}

	private void grantCapacity() {
		if (this.capacity == null || (this.paused && !this.attempt.isEnded())) {
			return;
		}
		CapacityChannel channel = this.capacity;
		this.capacity = null;
		try {
			channel.update(WINDOW_BYTES);
		}
		catch (IOException ex) {
			this.attempt.transportFailed(ex);
		}
	}

	private void truncated(String detail) {
		if (!this.attempt.isEnded()) {
			LOGGER.warn("endpoint: answer of {} to attempt {} is truncated: {}", this.attempt.dispatch().endpoint(),
					this.attempt.dispatch().attemptId(), detail);
			this.attempt.failed(AttemptFailure.TRUNCATED, OptionalLong.empty(), detail);
		}
	}

	private void failByStatus() {
		ErrorReply reply = ErrorReply.parse(this.lines.remaining());
		this.attempt.failed(ErrorReply.failureOf(this.status), reply.retryAfter(), reply.detail());
	}

	@Override
	public void failed(Exception cause) {
		transportFailed(cause);
	}

	@Override
	public void releaseResources() {
		// Buffered bytes may still be needed for a slow caller.
	}

}
