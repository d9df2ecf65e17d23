package io.mulberrylift.testkit.placement;

import java.util.List;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlacementExperimentTests {

	private static final long LENGTH_MILLIS = 45_000;

	private static PlacementResult run(DeploymentShape shape, PlacementRule rule, long seed) {
		return new PlacementExperiment(shape, rule, seed, LENGTH_MILLIS).run();
	}

	/** The load alternates between long and short prompts within a run. */
	@Test
	void policyOutperformsEveryBaselineOnBothShapes() {
		for (DeploymentShape shape : List.of(DeploymentShape.PRAIRIE, DeploymentShape.TIMBANGAN)) {
			for (long seed = 1; seed <= 3; seed++) {
				double policy = run(shape, PlacementRule.PREDICTED_LOSS, seed).overall();
				for (PlacementRule rule : PlacementRule.values()) {
					if (rule != PlacementRule.PREDICTED_LOSS) {
						assertThat(policy).as("%s %s seed %d", shape, rule, seed)
							.isGreaterThan(run(shape, rule, seed).overall());
					}
				}
			}
		}
	}

	private static void assertServedAtLeastHalfAsOftenAsAll(double from, double to) {
		List<PlacementResult> results = LongStream.rangeClosed(1, 12)
			.parallel()
			.mapToObj((seed) -> run(DeploymentShape.PRAIRIE_GROWN, PlacementRule.PREDICTED_LOSS, seed))
			.toList();
		for (int index = 0; index < results.size(); index++) {
			PlacementResult result = results.get(index);
			assertThat(result.servedShare(PromptKind.VERY_LONG, from, to)).as("seed %d", index + 1)
				.isGreaterThanOrEqualTo(result.servedShare(PromptKind.VERY_LONG, 0, 1) / 2);
		}
	}

	/**
	 * Failure: engines of a large deployment rejected prompts larger than their memory.
	 */
	@Test
	void largestTenthIsServedAtLeastHalfAsOftenAsAll() {
		assertServedAtLeastHalfAsOftenAsAll(0, 0.1);
	}

	/**
	 * Failure: engines of a large deployment rejected prompts larger than their memory.
	 */
	@Test
	void nextLargestFifthIsServedAtLeastHalfAsOftenAsAll() {
		assertServedAtLeastHalfAsOftenAsAll(0.1, 0.3);
	}

	@Test
	void equalSeedsGiveEqualResults() {
		assertThat(run(DeploymentShape.TIMBANGAN, PlacementRule.PREDICTED_LOSS, 5))
			.isEqualTo(run(DeploymentShape.TIMBANGAN, PlacementRule.PREDICTED_LOSS, 5));
	}

}
