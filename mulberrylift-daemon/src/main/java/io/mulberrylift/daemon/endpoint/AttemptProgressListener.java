package io.mulberrylift.daemon.endpoint;

/**
 * Learns how far the answers of tries have come. Called by reactor threads once per chunk
 * of an answer; must not block.
 */
@FunctionalInterface
public interface AttemptProgressListener {

	/**
	 * Tells that tokens were accepted.
	 * @param attemptId the try
	 * @param acceptedTokens output tokens that the caller's sink has accepted in all
	 */
	void tokensAccepted(long attemptId, int acceptedTokens);

}
