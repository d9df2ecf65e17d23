package io.mulberrylift.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Serializes one completion answer, as a single body or as server-sent events.
 *
 * <p>
 * Not thread-safe; used by one exchange.
 * </p>
 */
final class CompletionWriter {

	private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

	private final CompletionFormat format;

	private final String id;

	private final long createdEpochSeconds;

	private final String model;

	private boolean first = true;

	/**
	 * Creates the writer.
	 * @param format format of the answer
	 * @param id identity of the answer without its prefix
	 * @param createdEpochSeconds time of creation in seconds since the epoch
	 * @param model name of the model
	 */
	CompletionWriter(CompletionFormat format, String id, long createdEpochSeconds, String model) {
		this.format = format;
		this.id = format.idPrefix() + id;
		this.createdEpochSeconds = createdEpochSeconds;
		this.model = model;
	}

	/**
	 * Writes the body of a complete answer.
	 * @param text the generated text
	 * @param finishReason why generation ended
	 * @param usage the token counts
	 * @return the body
	 */
	byte[] answerBody(String text, String finishReason, CompletionBodies.Usage usage) {
		return CallerJson.write(new CompletionBodies.Body<>(this.id, this.format.answerObject(),
				this.createdEpochSeconds, this.model, List.of(this.format.answerChoice(text, finishReason)), usage));
	}

	/**
	 * Writes an event with new text.
	 * @param text the new text
	 * @return the event
	 */
	byte[] chunk(String text) {
		return event(List.of(choice(text, null)), null);
	}

	/**
	 * Writes the event with the finish reason.
	 * @param finishReason why generation ended
	 * @return the event
	 */
	byte[] finishChunk(String finishReason) {
		return event(List.of(choice("", finishReason)), null);
	}

	/**
	 * Writes the event with the token counts.
	 * @param usage the token counts
	 * @return the event
	 */
	byte[] usageChunk(CompletionBodies.Usage usage) {
		return event(List.of(), usage);
	}

	/**
	 * Returns the last event of every complete stream.
	 * @return the event
	 */
	static byte[] done() {
		return DONE.clone();
	}

	/**
	 * Writes the last event of a stream that ends without a complete answer.
	 * @param problem document of the refusal that ended it
	 * @return the event
	 */
	static byte[] errorEvent(ProblemDocument problem) {
		return frame("event: error\ndata: ", CallerJson.write(problem));
	}

	private Object choice(String text, String finishReason) {
		boolean firstChunk = this.first;
		this.first = false;
		return this.format.chunkChoice(firstChunk, text, finishReason);
	}

	private byte[] event(List<Object> choices, CompletionBodies.Usage usage) {
		return frame("data: ", CallerJson.write(new CompletionBodies.Body<>(this.id, this.format.chunkObject(),
				this.createdEpochSeconds, this.model, choices, usage)));
	}

	private static byte[] frame(String prefix, byte[] json) {
		return (prefix + new String(json, StandardCharsets.UTF_8) + "\n\n").getBytes(StandardCharsets.UTF_8);
	}

}
