package io.mulberrylift.daemon.exchange;

import java.util.List;

/**
 * Where an endpoint's answer goes.
 *
 * <p>
 * Safe for use by several threads, but only one attempt writes at a time. The sink holds
 * at most {@value #MAX_BUFFERED_BYTES} bytes that the caller has not yet taken, plus one
 * chunk.
 * </p>
 */
public interface AnswerSink {

	/** Most bytes held for a caller that reads slowly. */
	int MAX_BUFFERED_BYTES = 256 * 1_024;

	/**
	 * Returns how many output tokens the sink has accepted so far.
	 * @return the offset of the next token
	 */
	int acceptedTokens();

	/**
	 * Accepts generated tokens. Tokens below the accepted offset are dropped; a gap is
	 * not allowed.
	 * @param offset offset of the first token
	 * @param text texts of the tokens
	 * @return whether more may be written now; otherwise wait for
	 * {@link #whenWritable(Runnable)}
	 * @throws IllegalStateException if the offset leaves a gap
	 */
	boolean acceptTokens(int offset, List<String> text);

	/**
	 * Runs an action once, as soon as more may be written or the caller is gone.
	 * @param action the action, must not block
	 */
	void whenWritable(Runnable action);

	/**
	 * Accepts the end of a model's answer. The caller sees it when the reducer completes
	 * the request.
	 * @param finishReason why generation ended
	 * @param promptTokens length of the prompt
	 * @param outputTokens length of the answer
	 */
	void acceptEnd(String finishReason, int promptTokens, int outputTokens);

	/**
	 * Accepts the whole answer of a plain service. The caller sees it when the reducer
	 * completes the request.
	 * @param reply the answer
	 */
	void acceptReply(ServiceReply reply);

}
