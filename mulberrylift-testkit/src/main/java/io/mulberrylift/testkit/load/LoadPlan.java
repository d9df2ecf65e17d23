package io.mulberrylift.testkit.load;

import java.util.List;

/**
 * What load to send.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param seed seed of arrivals, prompts and resends
 * @param ratePerSecond mean number of requests per second
 * @param durationMillis how long requests are sent, in milliseconds
 * @param model the model to ask
 * @param service the plain service to call
 * @param workspaces workspaces on whose behalf requests are sent
 * @param longPromptTokens longest prompt in tokens
 */
public record LoadPlan(long seed, double ratePerSecond, long durationMillis, String model, String service,
		List<String> workspaces, int longPromptTokens) {

	/**
	 * Creates the plan.
	 * @throws IllegalArgumentException if the rate or duration is not positive or there
	 * is no workspace
	 */
	public LoadPlan {
		workspaces = List.copyOf(workspaces);
		if (!(ratePerSecond > 0) || durationMillis <= 0 || workspaces.isEmpty()) {
			throw new IllegalArgumentException("Rate and duration must be positive and a workspace must be named");
		}
	}

}
