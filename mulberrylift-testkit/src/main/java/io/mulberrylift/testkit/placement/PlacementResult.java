package io.mulberrylift.testkit.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Earned share of the attainable benefit in one run.
 *
 * @param overall share over all prompts
 * @param byKind share of each kind of prompt
 * @param outcomes outcomes of all prompts
 */
public record PlacementResult(double overall, Map<PromptKind, Double> byKind, List<PromptOutcome> outcomes) {

	/**
	 * Creates a result.
	 */
	public PlacementResult {
		byKind = Map.copyOf(byKind);
		outcomes = List.copyOf(outcomes);
	}

	/**
	 * Returns the share of the prompts of a kind that were served, within a range of
	 * sizes.
	 * @param kind the kind
	 * @param from start of the range, as a share of the kind's prompts in descending
	 * order of size
	 * @param to end of the range
	 * @return the share, 0 to 1
	 */
	public double servedShare(PromptKind kind, double from, double to) {
		List<PromptOutcome> bySize = this.outcomes.stream()
			.filter((outcome) -> outcome.kind() == kind)
			.sorted(Comparator.comparingLong(PromptOutcome::tokens).reversed())
			.toList();
		List<PromptOutcome> range = bySize.subList((int) (from * bySize.size()), (int) (to * bySize.size()));
		return range.stream().filter(PromptOutcome::served).count() / (double) Math.max(1, range.size());
	}

}
