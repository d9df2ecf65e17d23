package io.mulberrylift.core.scheduling;

import io.mulberrylift.core.model.RequestSpec;

/**
 * Predicts when an endpoint gives a request its first token and its last.
 *
 * <p>
 * A pure function of the loads; allocates nothing. Prompt tokens ahead of a short prompt
 * are those that its priority does not overtake; a prompt that is being processed holds
 * up others for one chunk. While prompts are processed the gap between output tokens is
 * the busy gap of the endpoint, afterwards the quiet one.
 * </p>
 */
final class Prediction {

	/** Prompt tokens in an endpoint's queue from which a long prompt must be there. */
	static final long LONG_BACKLOG_TOKENS = 12_000;

	private static final long PREFILL_CHUNK_TOKENS = 2_048;

	private Prediction() {
	}

	static double firstTokenMillis(PendingRequest request, EndpointLoad load, int longPromptTokens,
			long nowMonotonicMillis) {
		RequestSpec spec = request.spec();
		double speed = load.speed().prefillTokensPerMilli();
		long backlog = load.prefillTokens(nowMonotonicMillis);
		double ahead = backlog;
		if (spec.promptTokens() <= longPromptTokens && backlog > LONG_BACKLOG_TOKENS) {
			ahead = PREFILL_CHUNK_TOKENS / 2.0 + load.ownPrefillTokens(spec.promptTokens());
		}
		return (ahead + spec.promptTokens() - load.cachedTokens(spec)) / speed;
	}

	/**
	 * Returns the time that generating the answer takes after the first token.
	 * @param load the endpoint
	 * @param answerTokens expected length of the answer
	 * @param firstTokenMillis predicted time to the first token
	 * @param nowMonotonicMillis the current time
	 * @return milliseconds
	 */
	static double decodeMillis(EndpointLoad load, double answerTokens, double firstTokenMillis,
			long nowMonotonicMillis) {
		long backlog = load.prefillTokens(nowMonotonicMillis);
		double quietGap = load.speed().decodeGapMillis();
		if (backlog <= LONG_BACKLOG_TOKENS) {
			return answerTokens * quietGap;
		}
		double busyGap = load.speed().contendedDecodeGapMillis();
		double busyMillis = Math.max(0, backlog / load.speed().prefillTokensPerMilli() - firstTokenMillis);
		double busyTokens = Math.min(answerTokens, busyMillis / busyGap);
		return busyTokens * busyGap + (answerTokens - busyTokens) * quietGap;
	}

}
