package io.mulberrylift.core.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates of answer lengths by profile: the 90 % quantile and the mean of the share of
 * the allowed length that answers use.
 *
 * <p>
 * Not thread-safe; owned by the scheduler. Before the first answer of a profile both are
 * half of the allowed length.
 * </p>
 */
final class AnswerLengthEstimates {

	private static final double QUANTILE = 0.9;

	private static final double QUANTILE_STEP = 0.02;

	private static final double INITIAL_SHARE = 0.5;

	private static final double MEAN_SMOOTHING = 0.05;

	private final Map<String, Double> quantileShares = new HashMap<>();

	private final Map<String, Double> meanShares = new HashMap<>();

	void update(PendingRequest request, AttemptReport report) {
		int allowedTokens = request.spec().maxOutputTokens();
		if (!report.complete() || allowedTokens == 0) {
			return;
		}
		double observedShare = (double) report.outputTokens() / allowedTokens;
		double meanShare = meanShare(request);
		this.meanShares.put(request.spec().profile(), meanShare + MEAN_SMOOTHING * (observedShare - meanShare));
		double share = quantileShare(request);
		double nextShare = (observedShare > share) ? share + QUANTILE_STEP * QUANTILE
				: share - QUANTILE_STEP * (1 - QUANTILE);
		this.quantileShares.put(request.spec().profile(), Math.min(1, Math.max(0, nextShare)));
	}

	private double meanShare(PendingRequest request) {
		return this.meanShares.getOrDefault(request.spec().profile(), INITIAL_SHARE);
	}

	/**
	 * Returns the mean length of answers to requests of the same profile.
	 * @param request the request
	 * @return output tokens still to be generated
	 */
	double meanTokens(PendingRequest request) {
		return Math.max(1, meanShare(request) * request.spec().maxOutputTokens() - request.resumeOffsetTokens());
	}

	private double quantileShare(PendingRequest request) {
		return this.quantileShares.getOrDefault(request.spec().profile(), INITIAL_SHARE);
	}

	/**
	 * Returns the length that 90 % of the answers to requests of the same profile do not
	 * exceed.
	 * @param request the request
	 * @return output tokens still to be generated
	 */
	double quantileTokens(PendingRequest request) {
		return Math.max(1, quantileShare(request) * request.spec().maxOutputTokens() - request.resumeOffsetTokens());
	}

}
