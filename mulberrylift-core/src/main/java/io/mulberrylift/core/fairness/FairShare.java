package io.mulberrylift.core.fairness;

import java.util.HashMap;
import java.util.Map;

import io.mulberrylift.core.model.WorkspaceId;

/**
 * Tracks how far each workspace is ahead of its weighted share of the work that this
 * instance sent recently.
 *
 * <p>
 * Not thread-safe; owned by the scheduler. Work is measured in tokens divided by the
 * workspace's weight and decays exponentially. The lead of a workspace is never negative;
 * it is zero for the workspace with the least recent work.
 * </p>
 */
public final class FairShare {

	private static final double HALF_LIFE_MILLIS = 20_000;

	private static final double MIN_TRACKED_TOKENS = 1;

	private final Map<WorkspaceId, Double> servedTokens = new HashMap<>();

	private long decayedMonotonicMillis;

	/**
	 * Creates a tracker without recorded work.
	 */
	public FairShare() {
	}

	/**
	 * Records work of a workspace.
	 * @param workspace the workspace
	 * @param weight its weight, positive
	 * @param tokens the amount of work in tokens
	 * @param nowMonotonicMillis the current time
	 */
	public void charge(WorkspaceId workspace, double weight, long tokens, long nowMonotonicMillis) {
		decay(nowMonotonicMillis);
		this.servedTokens.merge(workspace, tokens / weight, Double::sum);
	}

	private void decay(long nowMonotonicMillis) {
		double factor = Math.pow(0.5, (nowMonotonicMillis - this.decayedMonotonicMillis) / HALF_LIFE_MILLIS);
		this.decayedMonotonicMillis = nowMonotonicMillis;
		this.servedTokens.replaceAll((workspace, tokens) -> tokens * factor);
		this.servedTokens.values().removeIf((tokens) -> tokens < MIN_TRACKED_TOKENS);
	}

	/**
	 * Returns how much more weighted work a workspace had than the workspace with the
	 * least recent work.
	 * @param workspace the workspace
	 * @return the lead in tokens divided by weight, 0 for a workspace without recent work
	 */
	public double leadTokens(WorkspaceId workspace) {
		Double served = this.servedTokens.get(workspace);
		if (served == null) {
			return 0;
		}
		double least = served;
		for (double other : this.servedTokens.values()) {
			least = Math.min(least, other);
		}
		return served - least;
	}

}
