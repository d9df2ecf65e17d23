package io.mulberrylift.daemon.endpoint;

/**
 * Receives the progress of answers. Called on reactor threads once per tokens line of an
 * answer; must not block.
 */
@FunctionalInterface
public interface AttemptProgressListener {

	/**
	 * Called when the caller's sink has accepted tokens.
	 * @param attemptId the attempt
	 * @param acceptedTokens total number of output tokens that the sink has accepted
	 */
	void tokensAccepted(long attemptId, int acceptedTokens);

}
