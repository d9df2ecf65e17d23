package io.mulberrylift.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Formats of completion requests and their answers.
 */
public enum CompletionFormat {

	/** Text completion: a prompt and its continuation. */
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

	/** Chat completion: messages and the next message. */
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
	 * Returns the prefix of the identities of answers.
	 * @return the prefix
	 */
	String idPrefix() {
		return this.idPrefix;
	}

	/**
	 * Returns the type name of a complete answer.
	 * @return value of the field {@code object}
	 */
	String answerObject() {
		return this.answerObject;
	}

	/**
	 * Returns the type name of a chunk of a streamed answer.
	 * @return value of the field {@code object}
	 */
	String chunkObject() {
		return this.chunkObject;
	}

	/**
	 * Creates the choice of a complete answer.
	 * @param text the generated text
	 * @param finishReason why generation ended
	 * @return the choice
	 */
	abstract Object answerChoice(String text, String finishReason);

	/**
	 * Creates the choice of a chunk.
	 * @param first whether this is the first chunk of the answer
	 * @param text the new text, may be empty
	 * @param finishReason why generation ended, null before the end
	 * @return the choice
	 */
	abstract Object chunkChoice(boolean first, String text, String finishReason);

	/**
	 * Reads the text of a stored answer.
	 * @param choice the only choice of the stored answer
	 * @return the text, empty if there is none
	 */
	abstract String storedText(JsonNode choice);

}
