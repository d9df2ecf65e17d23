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
 * @param readMillis reading time that it takes here; 0 for plain work
 * @param parts number of engines that read the prompt
 * @param memoryTokens tokens of engine memory that it holds
 * @param gapTargetMillis longest pause of its answer that is on time; 0 for none
 * @param dueMillis when its first token is due
 * @param expectedFirstMillis when its reading is expected to end
 * @param weight what its lateness costs relative to a short prompt's
 */
public record WorkItem(int endpointHash, WorkPhase phase, double readMillis, int parts, long memoryTokens,
		long gapTargetMillis, long dueMillis, long expectedFirstMillis, double weight) {

	/**
	 * Share of its reading that an overdue prompt is taken to have left: others went
	 * ahead of it.
	 */
	private static final double OVERDUE_SHARE = 0.3;

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
	public double wholeReadMillis() {
		return this.readMillis * this.parts;
	}

	/**
	 * Returns the reading time that is left.
	 * @param nowMillis the current time
	 * @return the time in milliseconds, 0 once the answer is being written
	 */
	public double remainingReadMillis(long nowMillis) {
		if (this.phase == WorkPhase.WRITING || this.readMillis == 0) {
			return 0;
		}
		double left = Math.min(this.readMillis, this.expectedFirstMillis - nowMillis);
		double least = (this.phase == WorkPhase.HELPING) ? 0 : OVERDUE_SHARE * this.readMillis;
		return Math.max((this.expectedFirstMillis < nowMillis) ? least : 0, left);
	}

}
