package io.mulberrylift.testkit.load;

import io.mulberrylift.testkit.history.AnswerResult;

/**
 * How one send ended.
 *
 * @param result the outcome
 * @param reason the refusal's reason, empty for a whole answer
 * @param textHash hash of the whole answer, 0 otherwise
 * @param firstTokenNanos time of the first token by {@link System#nanoTime()}, 0 for none
 * @param connected whether the instance answered at all
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
