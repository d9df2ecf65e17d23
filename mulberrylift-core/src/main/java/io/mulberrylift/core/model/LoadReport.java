package io.mulberrylift.core.model;

import java.util.Objects;
import java.util.Set;

/**
 * Load that an endpoint reports of itself. Reports arrive late.
 *
 * @param endpoint the endpoint
 * @param incarnation number that changes when the endpoint's process restarts
 * @param runningRequests requests being worked on
 * @param queuedRequests requests accepted and waiting
 * @param queuedPromptTokens prompt tokens accepted and not yet prefilled
 * @param usedMemoryTokens KV memory in use or held, in tokens
 * @param draining whether the endpoint refuses new work
 * @param loadedModels models in memory, comma-free names
 * @param role the engine's role, empty text when it reports none; null becomes empty
 * @param ageMillis how old the report was when it arrived, in milliseconds
 */
public record LoadReport(EndpointId endpoint, long incarnation, int runningRequests, int queuedRequests,
		long queuedPromptTokens, long usedMemoryTokens, boolean draining, Set<String> loadedModels, String role,
		long ageMillis) {

	/**
	 * Creates the report.
	 * @throws NullPointerException if a reference is null
	 */
	public LoadReport {
		Objects.requireNonNull(endpoint, "endpoint");
		loadedModels = Set.copyOf(loadedModels);
		role = (role != null) ? role : "";
	}

}
