package io.mulberrylift.core.placement;

import java.util.Objects;

/**
 * Work in progress of one request at one endpoint.
 *
 * <p>
 * Immutable. Times are milliseconds of the local monotonic clock.
 * </p>
 *
 * @param endpointHash hash of the endpoint's identity
 * @param phase current phase
 * @param prefillMillis prefill time at this endpoint; 0 for services without an engine
 * cost model
 * @param parts number of engines that prefill the prompt
 * @param memoryTokens engine memory in tokens
 * @param gapTargetMillis maximum time between two tokens that meets the target; 0 for
 * none
 * @param firstTokenDueMillis when the first token is due
 * @param expectedFirstTokenMillis when prefill is expected to end
 * @param weight cost of lateness relative to that of a short prompt
 */
public record WorkItem(int endpointHash, WorkPhase phase, double prefillMillis, int parts, long memoryTokens,
		long gapTargetMillis, long firstTokenDueMillis, long expectedFirstTokenMillis, double weight) {

	/**
	 * Share of its prefill that an overdue prompt is assumed to have left, because other
	 * prompts were processed before it.
	 */
	private static final double OVERDUE_REMAINING_SHARE = 0.3;

	/**
	 * Creates the item.
	 */
	public WorkItem {
		Objects.requireNonNull(phase, "phase");
	}

	/**
	 * Returns the prefill time of the entire prompt.
	 * @return the time in milliseconds on one idle engine
	 */
	public double totalPrefillMillis() {
		return this.prefillMillis * this.parts;
	}

	/**
	 * Returns the remaining prefill time at this endpoint.
	 * @param nowMillis the current time
	 * @return the time in milliseconds, 0 in the decode phase
	 */
	public double remainingPrefillMillis(long nowMillis) {
		if (this.phase == WorkPhase.DECODE || this.prefillMillis == 0) {
			return 0;
		}
		double remaining = Math.min(this.prefillMillis, this.expectedFirstTokenMillis - nowMillis);
		// Peers tell the end of a prompt's prefill; the end of a summary of helpers
		// expires.
		boolean summary = this.phase == WorkPhase.HELPER_PREFILL && this.parts == 1;
		double minimum = (summary) ? 0 : OVERDUE_REMAINING_SHARE * this.prefillMillis;
		return Math.max((this.expectedFirstTokenMillis < nowMillis) ? minimum : 0, remaining);
	}

}
