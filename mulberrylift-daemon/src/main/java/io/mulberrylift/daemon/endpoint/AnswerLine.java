package io.mulberrylift.daemon.endpoint;

import java.util.List;

/**
 * One line of an engine's answer to an attempt.
 */
sealed interface AnswerLine {

	/**
	 * A run of consecutive generated tokens.
	 *
	 * @param offset offset of the first token
	 * @param text texts of the tokens
	 */
	record Tokens(int offset, List<String> text) implements AnswerLine {
	}

	/**
	 * The end line of a complete answer.
	 *
	 * @param finishReason why generation ended
	 * @param promptTokens length of the prompt
	 * @param cachedTokens prompt tokens found in the prefix cache
	 * @param outputTokens number of generated tokens, counted from offset 0
	 */
	record End(String finishReason, int promptTokens, int cachedTokens, int outputTokens) implements AnswerLine {
	}

	/**
	 * A failure of the engine after it had started to answer.
	 *
	 * @param detail the engine's description of the failure
	 */
	record Error(String detail) implements AnswerLine {
	}

}
