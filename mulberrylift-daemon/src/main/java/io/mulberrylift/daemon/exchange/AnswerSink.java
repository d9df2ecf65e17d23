package io.mulberrylift.daemon.exchange;

import java.util.List;

/**
 * Receives an endpoint's answer and passes it on to the caller.
 *
 * <p>
 * Thread-safe, but only one attempt writes at a time. The sink buffers at most
 * {@value #MAX_BUFFERED_BYTES} bytes that the caller has not yet read, plus one chunk.
 * </p>
 */
public interface AnswerSink {

	/** Maximum number of bytes buffered for a caller that reads slowly. */
	int MAX_BUFFERED_BYTES = 256 * 1_024;

	/**
	 * Returns the number of output tokens accepted so far.
	 * @return the count, which is also the offset of the next token
	 */
	int acceptedTokens();

	/**
	 * Accepts generated tokens. Tokens below the accepted offset are dropped as
	 * duplicates; a gap is not allowed.
	 * @param offset offset of the first of these tokens in the answer
	 * @param text texts of the tokens
	 * @return whether more tokens may be written now; if not, wait for
	 * {@link #whenWritable(Runnable)}
	 * @throws IllegalStateException if the offset is above the number of accepted tokens
	 */
	boolean acceptTokens(int offset, List<String> text);

	/**
	 * Runs an action once, as soon as more may be written or the caller has disconnected.
	 * @param action the action; must not block
	 */
	void whenWritable(Runnable action);

	/**
	 * Accepts the end of a model's answer. It is sent to the caller when the reducer
	 * completes the request.
	 * @param finishReason why generation ended
	 * @param promptTokens length of the prompt in tokens
	 * @param outputTokens length of the answer in tokens
	 */
	void acceptEnd(String finishReason, int promptTokens, int outputTokens);

	/**
	 * Accepts the complete answer of a plain service. It is sent to the caller when the
	 * reducer completes the request.
	 * @param reply the answer
	 */
	void acceptReply(ServiceReply reply);

}
