package io.mulberrylift.testkit.load;

import io.mulberrylift.testkit.history.AnswerResult;

/**
 * Result of one send.
 *
 * @param result the outcome
 * @param reason reason of the failure, empty for a complete answer
 * @param textHash hash of the text of a complete answer, 0 otherwise
 * @param firstTokenNanos {@link System#nanoTime()} of the first token, 0 if there was
 * none
 * @param connected whether the instance answered the request
 */
record SendResult(AnswerResult result, String reason, long textHash, long firstTokenNanos, boolean connected) {

	static SendResult complete(long textHash, long firstTokenNanos) {
		return new SendResult(AnswerResult.WHOLE, "", textHash, firstTokenNanos, true);
	}

	static SendResult refused(AnswerResult result, String reason) {
		return new SendResult(result, reason, 0, 0, true);
	}

	static SendResult connectionFailed(String reason) {
		return new SendResult(AnswerResult.UNKNOWN, reason, 0, 0, false);
	}

}
