package io.mulberrylift.daemon.endpoint;

import java.util.List;

/**
 * One line of a model's answer.
 */
sealed interface AnswerLine {

	/**
	 * Generated tokens.
	 *
	 * @param offset offset of the first token
	 * @param text texts of the tokens
	 */
	record Tokens(int offset, List<String> text) implements AnswerLine {
	}

	/**
	 * The explicit end.
	 *
	 * @param finishReason why generation ended
	 * @param promptTokens length of the prompt
	 * @param cachedTokens prompt tokens from the prefix cache
	 * @param outputTokens generated tokens, counted from offset 0
	 */
	record End(String finishReason, int promptTokens, int cachedTokens, int outputTokens) implements AnswerLine {
	}

	/**
	 * The engine failed after it had begun.
	 *
	 * @param detail what the engine said
	 */
	record Error(String detail) implements AnswerLine {
	}

}
