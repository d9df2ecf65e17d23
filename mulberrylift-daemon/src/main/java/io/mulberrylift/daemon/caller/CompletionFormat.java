package io.mulberrylift.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The two forms in which completions are asked for and answered.
 */
public enum CompletionFormat {

	/** A prompt and its continuation. */
	COMPLETION("cmpl-", "text_completion", "text_completion") {

		@Override
		Object answerChoice(String text, String finishReason) {
			return new CompletionBodies.TextChoice(0, text, finishReason);
		}

		@Override
		Object chunkChoice(boolean first, String text, String finishReason) {
			return new CompletionBodies.TextChoice(0, text, finishReason);
		}

		@Override
		String storedText(JsonNode choice) {
			return choice.path("text").asText();
		}

	},

	/** Chat messages and the next message. */
	CHAT("chatcmpl-", "chat.completion", "chat.completion.chunk") {

		@Override
		Object answerChoice(String text, String finishReason) {
			return new CompletionBodies.MessageChoice(0, new CompletionBodies.Message("assistant", text), finishReason);
		}

		@Override
		Object chunkChoice(boolean first, String text, String finishReason) {
			String role = (first) ? "assistant" : null;
			String content = (finishReason != null) ? null : text;
			return new CompletionBodies.DeltaChoice(0, new CompletionBodies.Message(role, content), finishReason);
		}

		@Override
		String storedText(JsonNode choice) {
			return choice.path("message").path("content").asText();
		}

	};

	private final String idPrefix;

	private final String answerObject;

	private final String chunkObject;

	CompletionFormat(String idPrefix, String wholeObject, String chunkObject) {
		this.idPrefix = idPrefix;
		this.answerObject = wholeObject;
		this.chunkObject = chunkObject;
	}

	/**
	 * Returns the prefix of identities of answers.
	 * @return the prefix
	 */
	String idPrefix() {
		return this.idPrefix;
	}

	/**
	 * Returns the kind of a whole answer.
	 * @return the name of the kind
	 */
	String answerObject() {
		return this.answerObject;
	}

	/**
	 * Returns the kind of a chunk of a streamed answer.
	 * @return the name of the kind
	 */
	String chunkObject() {
		return this.chunkObject;
	}

	/**
	 * Returns the choice of a whole answer.
	 * @param text the generated text
	 * @param finishReason why generation ended
	 * @return the choice
	 */
	abstract Object answerChoice(String text, String finishReason);

	/**
	 * Returns the choice of a chunk.
	 * @param first whether it is the answer's first chunk
	 * @param text the new text, may be empty
	 * @param finishReason why generation ended, null before the end
	 * @return the choice
	 */
	abstract Object chunkChoice(boolean first, String text, String finishReason);

	/**
	 * Returns the text of a stored answer.
	 * @param choice the only choice of the stored whole answer
	 * @return the text, empty when there is none
	 */
	abstract String storedText(JsonNode choice);

}
