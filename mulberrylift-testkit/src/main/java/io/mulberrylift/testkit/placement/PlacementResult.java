package io.mulberrylift.testkit.placement;

import java.util.Map;

/**
 * Earned share of the attainable benefit in one run.
 *
 * @param overall share over all prompts
 * @param byKind share of each kind of prompt
 */
public record PlacementResult(double overall, Map<PromptKind, Double> byKind) {

	/**
	 * Creates a result.
	 */
	public PlacementResult {
		byKind = Map.copyOf(byKind);
	}

}
