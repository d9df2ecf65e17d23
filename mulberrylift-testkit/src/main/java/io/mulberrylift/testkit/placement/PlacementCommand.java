package io.mulberrylift.testkit.placement;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Command that compares rules for placing prompts on engines with a published cost model.
 *
 * <p>
 * Not safe for use by several threads.
 * </p>
 */
@Command(name = "placement", description = "Compares rules for placing prompts on engines in virtual time.")
public final class PlacementCommand implements Callable<Integer> {

	private static final long MILLIS_PER_SECOND = 1000;

	@Option(names = "--seeds", split = ",", defaultValue = "1,2,3", description = "Seeds of the loads.")
	private List<Long> seeds;

	@Option(names = "--seconds", defaultValue = "90", description = "Time in seconds during which prompts arrive.")
	private long seconds;

	@Spec
	private CommandSpec spec;

	@Override
	public Integer call() {
		PrintWriter out = this.spec.commandLine().getOut();
		out.println("earned share of the attainable benefit: all, short, medium, long prompts");
		for (DeploymentShape shape : DeploymentShape.values()) {
			for (PlacementRule rule : PlacementRule.values()) {
				for (long seed : this.seeds) {
					PlacementResult result = new PlacementExperiment(shape, rule, seed,
							this.seconds * MILLIS_PER_SECOND)
						.run();
					Map<PromptKind, Double> kinds = result.byKind();
					out.printf(Locale.ROOT, "%-13s %-15s seed %d  %.3f  %.3f %.3f %.3f %.3f", shape, rule, seed,
							result.overall(), kinds.get(PromptKind.SHORT), kinds.get(PromptKind.MEDIUM),
							kinds.get(PromptKind.LONG), kinds.get(PromptKind.VERY_LONG));
					out.printf(Locale.ROOT, "  served %.2f %.2f %.2f%n", result.servedShare(PromptKind.VERY_LONG, 0, 1),
							result.servedShare(PromptKind.VERY_LONG, 0, 0.1),
							result.servedShare(PromptKind.VERY_LONG, 0.1, 0.3));
				}
			}
		}
		out.flush();
		return 0;
	}

}
