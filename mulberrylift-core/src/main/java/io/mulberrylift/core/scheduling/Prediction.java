package io.mulberrylift.core.scheduling;

import io.mulberrylift.core.model.RequestSpec;

/**
 * Predicts when an endpoint returns the first and the last token of a request.
 *
 * <p>
 * A pure function of the loads; does not allocate. A short prompt overtakes long ones by
 * its priority, so only prompt tokens of prompts up to its length are ahead of it; a long
 * prompt in process delays it until the end of the current chunk, half a chunk on
 * average. While a long prompt is processed, output tokens follow each other at the
 * contended decode gap of the endpoint, afterwards at the uncontended one.
 * </p>
 */
final class Prediction {

	/**
	 * Prefill backlog in tokens above which an endpoint is assumed to process a long
	 * prompt.
	 */
	static final long LONG_BACKLOG_TOKENS = 12_000;

	private static final long PREFILL_CHUNK_TOKENS = 2_048;

	private Prediction() {
	}

	static double firstTokenMillis(PendingRequest request, EndpointLoad load, int longPromptTokens,
			long nowMonotonicMillis) {
		RequestSpec spec = request.spec();
		double tokensPerMilli = load.speed().prefillTokensPerMilli();
		long backlogTokens = load.prefillTokens(nowMonotonicMillis);
		double aheadTokens = backlogTokens;
		if (spec.promptTokens() <= longPromptTokens && backlogTokens > LONG_BACKLOG_TOKENS) {
			aheadTokens = PREFILL_CHUNK_TOKENS / 2.0 + load.ownPrefillTokens(spec.promptTokens());
		}
		return (aheadTokens + spec.promptTokens() - load.cachedTokens(spec)) / tokensPerMilli;
	}

	/**
	 * Returns the time from the first token to the last.
	 * @param load the endpoint
	 * @param answerTokens expected length of the answer in tokens
	 * @param firstTokenMillis predicted time to the first token in milliseconds
	 * @param nowMonotonicMillis the current time
	 * @return milliseconds
	 */
	static double decodeMillis(EndpointLoad load, double answerTokens, double firstTokenMillis,
			long nowMonotonicMillis) {
		long backlogTokens = load.prefillTokens(nowMonotonicMillis);
		double uncontendedGapMillis = load.speed().decodeGapMillis();
		if (backlogTokens <= LONG_BACKLOG_TOKENS) {
			return answerTokens * uncontendedGapMillis;
		}
		double contendedGapMillis = load.speed().contendedDecodeGapMillis();
		double contendedMillis = Math.max(0, backlogTokens / load.speed().prefillTokensPerMilli() - firstTokenMillis);
		double contendedTokens = Math.min(answerTokens, contendedMillis / contendedGapMillis);
		return contendedTokens * contendedGapMillis + (answerTokens - contendedTokens) * uncontendedGapMillis;
	}

}
