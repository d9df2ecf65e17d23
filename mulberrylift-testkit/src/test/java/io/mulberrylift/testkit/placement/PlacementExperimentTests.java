package io.mulberrylift.testkit.placement;

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
		for (DeploymentShape shape : DeploymentShape.values()) {
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

	@Test
	void equalSeedsGiveEqualResults() {
		assertThat(run(DeploymentShape.TIMBANGAN, PlacementRule.PREDICTED_LOSS, 5))
			.isEqualTo(run(DeploymentShape.TIMBANGAN, PlacementRule.PREDICTED_LOSS, 5));
	}

}
