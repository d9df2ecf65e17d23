package io.mulberrylift.daemon.caller;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.daemon.exchange.AnswerSink;
import io.mulberrylift.daemon.exchange.ModelCall;
import io.mulberrylift.daemon.exchange.ServiceReply;

/**
 * A completion request in progress.
 *
 * <p>
 * Thread-safe. A streaming caller receives every accepted token once and in order; any
 * other caller receives the complete answer or none of it.
 * </p>
 */
final class ModelExchange extends AbstractExchange {

	private static final Map<String, List<String>> JSON_HEADERS = Map.of("Content-Type", List.of("application/json"));

	private static final Map<String, List<String>> EVENT_HEADERS = Map.of("Content-Type",
			List.of("text/event-stream; charset=utf-8"), "Cache-Control", List.of("no-cache"));

	private final ModelCall call;

	private final AnswerOptions options;

	private final CompletionWriter writer;

	private final Runnable onFirstToken;

	private final StringBuilder text = new StringBuilder();

	private int acceptedTokens;

	private AnswerEnd answerEnd;

	/**
	 * Creates an exchange.
	 * @param spec description of the request for the reducer
	 * @param call the body of the request
	 * @param options format of the answer
	 * @param writer serializes the answer
	 * @param stream stream that sends the response
	 * @param onFirstToken runs once when the first token is accepted
	 */
	ModelExchange(RequestSpec spec, ModelCall call, AnswerOptions options, CompletionWriter writer,
			ResponseStream stream, Runnable onFirstToken) {
		super(spec, stream);
		this.call = call;
		this.options = options;
		this.writer = writer;
		this.onFirstToken = onFirstToken;
	}

	@Override
	public Optional<ModelCall> modelCall() {
		return Optional.of(this.call);
	}

	@Override
	public synchronized int acceptedTokens() {
		return this.acceptedTokens;
	}

	@Override
	public synchronized boolean acceptTokens(int offset, List<String> tokens) {
		if (offset > this.acceptedTokens) {
			throw new IllegalStateException(
					"Token " + offset + " leaves a gap; expected an offset of at most " + this.acceptedTokens);
		}
		int duplicates = this.acceptedTokens - offset;
		boolean first = this.acceptedTokens == 0;
		this.acceptedTokens = Math.max(this.acceptedTokens, offset + tokens.size());
		if (isClosed() || duplicates >= tokens.size()) {
			return true;
		}
		if (first) {
			this.onFirstToken.run();
		}
		return accept(String.join("", tokens.subList(duplicates, tokens.size())));
	}

	@Override
	public synchronized void acceptEnd(String finishReason, int promptTokens, int outputTokens) {
		this.answerEnd = new AnswerEnd(finishReason, CompletionBodies.Usage.of(promptTokens, outputTokens));
	}

	@Override
	public void acceptReply(ServiceReply reply) {
		throw new IllegalStateException("A model's answer consists of tokens; use acceptTokens and acceptEnd");
	}

	@Override
	public synchronized Optional<StoredAnswer> storedAnswer() {
		if (this.answerEnd == null || !retainsText() || this.text.length() > AnswerSink.MAX_BUFFERED_BYTES) {
			return Optional.empty();
		}
		byte[] body = answerBody();
		return (body.length <= AnswerSink.MAX_BUFFERED_BYTES)
				? Optional.of(new StoredAnswer(200, "application/json", body)) : Optional.empty();
	}

	@Override
	public synchronized void complete() {
		if (this.answerEnd == null) {
			refuse(Refusal.of(Outcome.FAILED, RefusalReason.INTERNAL,
					"The answer was completed without its finish reason"));
		}
		else if (markEnded()) {
			sendEnd();
		}
	}

	@Override
	public synchronized void replay(StoredAnswer answer) {
		if (!markEnded()) {
			return;
		}
		if (this.options.streaming() && answer.httpStatus() == 200) {
			replayEvents(answer);
		}
		else {
			sendResponse(answer.httpStatus(), Map.of("Content-Type", List.of(answer.contentType())), answer.body());
		}
	}

	private boolean accept(String newText) {
		boolean atLimit = this.options.streaming() && this.text.length() > AnswerSink.MAX_BUFFERED_BYTES;
		if (retainsText() && !atLimit) {
			this.text.append(newText);
		}
		if (!this.options.streaming()) {
			return true;
		}
		stream().begin(200, EVENT_HEADERS);
		return stream().send(this.writer.chunk(newText));
	}

	private boolean retainsText() {
		return !this.options.streaming() || spec().key().isPresent();
	}

	private void sendEnd() {
		if (this.options.streaming()) {
			sendFinish(this.answerEnd);
		}
		else {
			sendResponse(200, JSON_HEADERS, answerBody());
		}
	}

	private void sendFinish(AnswerEnd end) {
		stream().begin(200, EVENT_HEADERS);
		stream().send(this.writer.finishChunk(end.finishReason()));
		if (this.options.includeUsage()) {
			stream().send(this.writer.usageChunk(end.usage()));
		}
		stream().send(CompletionWriter.done());
		stream().finish();
	}

	private byte[] answerBody() {
		return this.writer.answerBody(this.text.toString(), this.answerEnd.finishReason(), this.answerEnd.usage());
	}

	private void replayEvents(StoredAnswer answer) {
		JsonNode body = readStored(answer);
		JsonNode choice = body.path("choices").path(0);
		JsonNode usage = body.path("usage");
		stream().begin(200, EVENT_HEADERS);
		stream().send(this.writer.chunk(this.options.format().storedText(choice)));
		sendFinish(new AnswerEnd(choice.path("finish_reason").asText(), CompletionBodies.Usage
			.of(usage.path("prompt_tokens").asInt(), usage.path("completion_tokens").asInt())));
	}

	private static JsonNode readStored(StoredAnswer answer) {
		try {
			return CallerJson.mapper().readTree(new String(answer.body(), StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Stored answer is not valid JSON", ex);
		}
	}

	/**
	 * Format of the answer that the caller requested.
	 *
	 * @param format format of the answer
	 * @param streaming whether it is streamed as it is generated
	 * @param includeUsage whether a streamed answer includes the token counts
	 */
	record AnswerOptions(CompletionFormat format, boolean streaming, boolean includeUsage) {
	}

	/**
	 * The end of the generated answer.
	 *
	 * @param finishReason why generation ended
	 * @param usage the token counts
	 */
	private record AnswerEnd(String finishReason, CompletionBodies.Usage usage) {
	}

}
