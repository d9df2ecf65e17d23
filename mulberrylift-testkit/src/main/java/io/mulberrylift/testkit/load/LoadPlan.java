package io.mulberrylift.testkit.load;

import java.util.List;

/**
 * Parameters of a load.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param seed seed of the arrival times, prompts and resends
 * @param ratePerSecond mean number of requests per second
 * @param durationMillis time during which requests are sent, in milliseconds
 * @param model the model that prompts are sent to
 * @param service the plain service to call
 * @param workspaces workspaces on whose behalf requests are sent
 * @param longPromptTokens maximum prompt length in tokens
 */
public record LoadPlan(long seed, double ratePerSecond, long durationMillis, String model, String service,
		List<String> workspaces, int longPromptTokens) {

	/**
	 * Creates a plan.
	 * @throws IllegalArgumentException if the rate or duration is not positive or there
	 * is no workspace
	 */
	public LoadPlan {
		workspaces = List.copyOf(workspaces);
		if (!(ratePerSecond > 0) || durationMillis <= 0 || workspaces.isEmpty()) {
			throw new IllegalArgumentException(
					"The rate and the duration must be positive, and at least one workspace is required");
		}
	}

}
