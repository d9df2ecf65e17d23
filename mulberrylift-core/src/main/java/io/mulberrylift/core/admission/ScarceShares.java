package io.mulberrylift.core.admission;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides scarce room: among ranks, the most urgent first, and within a rank among
 * workspaces such that those that ask for less than an equal part get all of it. Each
 * share has a floor, so that nothing starves. Stateless and thread-safe.
 */
final class ScarceShares {

	/**
	 * Least share of a rank or workspace, relative to that of all together. Requests that
	 * are served less than a quarter as often as all count as starved; the rest is a
	 * margin for chance.
	 */
	static final double FLOOR = 0.35;

	private static final int LEVEL_STEPS = 40;

	private ScarceShares() {
	}

	/**
	 * Returns the share of each rank's demand that is admitted.
	 * @param demand demand by rank
	 * @param capacity the room, in the same unit
	 * @return shares from 0 to 1, never larger for a less urgent rank
	 */
	static Map<Integer, Double> byRank(Map<Integer, Double> demand, double capacity) {
		double total = demand.values().stream().mapToDouble(Double::doubleValue).sum();
		Map<Integer, Double> shares = new TreeMap<>();
		double floor = floor(total, capacity);
		double left = Math.max(0, capacity) - floor * total;
		for (Map.Entry<Integer, Double> rank : new TreeMap<>(demand).entrySet()) {
			double missing = (1 - floor) * rank.getValue();
			double given = Math.min(missing, Math.max(0, left));
			left -= given;
			shares.put(rank.getKey(), (rank.getValue() > 0) ? floor + given / rank.getValue() : 1.0);
		}
		return shares;
	}

	/**
	 * Returns the share of a workspace's demand that is admitted.
	 * @param own demand of the workspace
	 * @param others demand of the other workspaces of the rank that are known
	 * @param capacity room of the rank, in the same unit
	 * @return a number from 0 to 1
	 */
	static double ofWorkspace(double own, double[] others, double capacity) {
		double total = own + Arrays.stream(others).sum();
		if (own <= 0 || total <= capacity) {
			return 1;
		}
		double floor = floor(total, capacity);
		double low = 0;
		double high = total;
		for (int step = 0; step < LEVEL_STEPS; step++) {
			double level = (low + high) / 2;
			double used = given(own, level, floor);
			for (double each : others) {
				used += given(each, level, floor);
			}
			if (used > capacity) {
				high = level;
			}
			else {
				low = level;
			}
		}
		return Math.min(1, given(own, low, floor) / own);
	}

	private static double given(double demand, double level, double floor) {
		return Math.max(floor * demand, Math.min(demand, level));
	}

	private static double floor(double total, double capacity) {
		return (total > 0) ? FLOOR * Math.min(1, Math.max(0, capacity) / total) : 0;
	}

}
