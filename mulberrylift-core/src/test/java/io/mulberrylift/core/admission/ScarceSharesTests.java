package io.mulberrylift.core.admission;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Load: any demand of ranks and workspaces against any room.
 */
class ScarceSharesTests {

	private static final double ROUNDING = 1e-6;

	/** Users' bounds: nothing is served less than a quarter as often as all. */
	private static final double STARVED = 0.25;

	@Property(seed = "40", tries = 1000)
	void roomOfRanksIsUsedUpAndNoneIsServedBetterThanAMoreUrgentOne(
			@ForAll @Size(min = 1, max = 6) List<@DoubleRange(min = 0.1, max = 1e6) Double> demands,
			@ForAll @DoubleRange(min = 0, max = 1e6) double capacity) {
		Map<Integer, Double> demand = new TreeMap<>();
		demands.forEach((each) -> demand.put(demand.size(), each));
		double total = demands.stream().mapToDouble(Double::doubleValue).sum();
		Map<Integer, Double> shares = ScarceShares.byRank(demand, capacity);
		double used = demand.entrySet()
			.stream()
			.mapToDouble((each) -> each.getValue() * shares.get(each.getKey()))
			.sum();
		assertThat(used).isCloseTo(Math.min(total, capacity), within(total * ROUNDING));
		double all = Math.min(1, capacity / total);
		for (int rank = 0; rank < demand.size(); rank++) {
			assertThat(shares.get(rank)).isBetween(STARVED * all - ROUNDING, 1 + ROUNDING);
			assertThat(shares.get(rank)).isLessThanOrEqualTo(shares.getOrDefault(rank - 1, 1.0) + ROUNDING);
		}
	}

	@Property(seed = "40", tries = 500)
	void roomOfWorkspacesIsUsedUpAndNoneStarves(
			@ForAll @Size(min = 2, max = 24) List<@DoubleRange(min = 0.1, max = 1e5) Double> demands,
			@ForAll @DoubleRange(min = 0.01, max = 1.5) double load) {
		double total = demands.stream().mapToDouble(Double::doubleValue).sum();
		double capacity = total * load;
		double used = 0;
		for (int index = 0; index < demands.size(); index++) {
			double share = share(demands, index, capacity);
			used += share * demands.get(index);
			assertThat(share).isBetween(STARVED * Math.min(1, load) - ROUNDING, 1.0);
		}
		assertThat(used).isCloseTo(Math.min(total, capacity), within(total * 1e-3));
	}

	private static double share(List<Double> demands, int index, double capacity) {
		double[] others = new double[demands.size() - 1];
		for (int other = 0; other < demands.size(); other++) {
			if (other != index) {
				others[(other < index) ? other : other - 1] = demands.get(other);
			}
		}
		return ScarceShares.ofWorkspace(demands.get(index), others, capacity);
	}

	@Test
	void workspaceWithinAnEqualPartGetsAllAndALargeOneTheRest() {
		List<Double> demands = List.of(100.0, 10.0, 10.0, 10.0);
		assertThat(share(demands, 1, 80)).isCloseTo(1, within(1e-3));
		assertThat(share(demands, 0, 80)).isCloseTo(0.5, within(1e-3));
	}

}
