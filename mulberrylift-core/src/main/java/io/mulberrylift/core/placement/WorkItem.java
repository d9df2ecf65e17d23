package io.mulberrylift.core.placement;

import java.util.Objects;

/**
 * A piece of work in progress at one endpoint.
 *
 * <p>
 * Immutable. Times are monotonic milliseconds of the instance that holds the item.
 * </p>
 *
 * @param endpointHash hash of the endpoint's identity
 * @param phase what the work does now
 * @param prefillMillis reading time that it takes here; 0 for plain work
 * @param parts number of engines that read the prompt
 * @param memoryTokens tokens of engine memory that it holds
 * @param gapTargetMillis longest pause of its answer that is on time; 0 for none
 * @param firstTokenDueMillis when its first token is due
 * @param expectedFirstTokenMillis when its reading is expected to end
 * @param weight what its lateness costs relative to a short prompt's
 */
public record WorkItem(int endpointHash, WorkPhase phase, double prefillMillis, int parts, long memoryTokens,
		long gapTargetMillis, long firstTokenDueMillis, long expectedFirstTokenMillis, double weight) {

	/**
	 * Share of its reading that an overdue prompt is taken to have left: others went
	 * ahead of it.
	 */
	private static final double OVERDUE_REMAINING_SHARE = 0.3;

	/**
	 * Creates the item.
	 */
	public WorkItem {
		Objects.requireNonNull(phase, "phase");
	}

	/**
	 * Returns the reading time of the whole prompt.
	 * @return the time in milliseconds on one idle engine
	 */
	public double totalPrefillMillis() {
		return this.prefillMillis * this.parts;
	}

	/**
	 * Returns the reading time that is left.
	 * @param nowMillis the current time
	 * @return the time in milliseconds, 0 once the answer is being written
	 */
	public double remainingPrefillMillis(long nowMillis) {
		if (this.phase == WorkPhase.DECODE || this.prefillMillis == 0) {
			return 0;
		}
		double left = Math.min(this.prefillMillis, this.expectedFirstTokenMillis - nowMillis);
		double least = (this.phase == WorkPhase.HELPER_PREFILL) ? 0 : OVERDUE_REMAINING_SHARE * this.prefillMillis;
		return Math.max((this.expectedFirstTokenMillis < nowMillis) ? least : 0, left);
	}

}
