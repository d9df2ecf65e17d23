package io.mulberrylift.testkit.experiment;

import java.util.List;

import io.mulberrylift.core.scheduling.RoutingPolicy;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Comparison}.
 */
class ComparisonTests {

	private static String csv(long seed) {
		ComparisonPlan plan = new ComparisonPlan(List.of(FleetShape.TIMBANGAN), List.of(seed), List.of(0.9),
				List.of(RoutingPolicy.LEAST_REQUESTS, RoutingPolicy.SLACK), 5, 20, 5);
		return ResultCsv.format(new Comparison(plan, (row) -> {
		}).run());
	}

	@Test
	void equalSeedsGiveEqualResults() {
		String first = csv(1);
		assertThat(csv(1)).isEqualTo(first);
		assertThat(csv(2)).isNotEqualTo(first);
	}

	@Test
	void everyShortRequestGetsItsAnswerOnAnIdleFleet() {
		List<Arrival> arrivals = new Workload(FleetShape.PRAIRIE, 5).generate(1, 120)
			.stream()
			.filter(Arrival::isShort)
			.toList();
		RunResult.Window window = new RunResult.Window(0, Long.MAX_VALUE / 2);
		for (RoutingPolicy policy : RoutingPolicy.values()) {
			RunResult result = ExperimentRun.run(FleetShape.PRAIRIE, policy, arrivals, window, 1);
			assertThat(result.requests()).isEqualTo(arrivals.size());
			assertThat(result.count(RunRecorder.Answer.ANSWERED)).as(policy.label()).isEqualTo(arrivals.size());
		}
	}

	@Test
	void gangsServePromptsLongerThanOneEngine() {
		Arrival arrival = new Arrival(1, 0, 0, 0, 1_000_000, 50, new long[0]);
		RunResult.Window window = new RunResult.Window(0, Long.MAX_VALUE / 2);
		RunResult result = ExperimentRun.run(FleetShape.PRAIRIE, RoutingPolicy.SLACK, List.of(arrival), window, 1);
		assertThat(result.count(RunRecorder.Answer.ANSWERED)).isEqualTo(1);
	}

}
