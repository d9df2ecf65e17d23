package io.mulberrylift.testkit.engine;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/**
 * Generates the answers of the stand-in engines. Each token depends only on the model,
 * the prompt and its offset; the length depends only on the prompt and the limit.
 *
 * <p>
 * Stateless and thread-safe utility class.
 * </p>
 */
public final class AnswerText {

	/** Number of UTF-16 characters of a prompt per token. */
	public static final int CHARS_PER_TOKEN = 4;

	private static final int SHORTEST_ANSWER_TOKENS = 16;

	private static final int ANSWER_RANGE_TOKENS = 1_009;

	private static final int RADIX = 36;

	private static final long TOKEN_MASK = 0x3fff_ffffL;

	private static final HashFunction HASH = Hashing.murmur3_128();

	private AnswerText() {
	}

	/**
	 * Returns the number of tokens in a prompt.
	 * @param prompt the prompt, not null
	 * @return the number of tokens, rounded up; 0 for an empty prompt
	 */
	public static int promptTokens(String prompt) {
		return (prompt.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
	}

	/**
	 * Returns the hash of a prompt from which its answer is generated.
	 * @param prompt the prompt, not null
	 * @return the hash
	 */
	public static long promptHash(String prompt) {
		return HASH.hashUnencodedChars(prompt).asLong();
	}

	/**
	 * Returns the length of the complete answer.
	 * @param promptHash hash of the prompt
	 * @param maxOutputTokens the maximum length that the caller allows, in tokens
	 * @return the number of tokens, at least 1
	 */
	public static int answerTokens(long promptHash, int maxOutputTokens) {
		return Math.max(1, Math.min(maxOutputTokens, unlimitedTokens(promptHash)));
	}

	/**
	 * Returns the finish reason of the answer.
	 * @param promptHash hash of the prompt
	 * @param maxOutputTokens the maximum length that the caller allows, in tokens
	 * @return {@code length} if the limit truncates the answer, otherwise {@code stop}
	 */
	public static String finishReason(long promptHash, int maxOutputTokens) {
		return (unlimitedTokens(promptHash) <= maxOutputTokens) ? "stop" : "length";
	}

	/**
	 * Returns the text of one token.
	 * @param model the model
	 * @param promptHash hash of the prompt
	 * @param offset position of the token in the answer
	 * @return the text, starting with a space
	 */
	public static String token(String model, long promptHash, int offset) {
		long hash = HASH.newHasher()
			.putLong(promptHash)
			.putInt(offset)
			.putString(model, StandardCharsets.UTF_8)
			.hash()
			.asLong();
		return " " + Long.toString(hash & TOKEN_MASK, RADIX);
	}

	/**
	 * Returns the text of a range of tokens.
	 * @param model the model
	 * @param promptHash hash of the prompt
	 * @param from position of the first token, inclusive
	 * @param to position of the last token, exclusive
	 * @return the text, empty for an empty range
	 */
	public static String text(String model, long promptHash, int from, int to) {
		StringBuilder text = new StringBuilder();
		for (int offset = from; offset < to; offset++) {
			text.append(token(model, promptHash, offset));
		}
		return text.toString();
	}

	/**
	 * Returns the text of the complete answer.
	 * @param model the model
	 * @param prompt the prompt
	 * @param maxOutputTokens the maximum length that the caller allows, in tokens
	 * @return the text
	 */
	public static String completeAnswer(String model, String prompt, int maxOutputTokens) {
		long promptHash = promptHash(prompt);
		return text(model, promptHash, 0, answerTokens(promptHash, maxOutputTokens));
	}

	private static int unlimitedTokens(long promptHash) {
		return SHORTEST_ANSWER_TOKENS + Math.floorMod(promptHash, ANSWER_RANGE_TOKENS);
	}

}
