package io.mulberrylift.core.model;

import java.util.Objects;
import java.util.Set;

/**
 * The load that an endpoint reports about itself, as it was {@code ageMillis} before the
 * report arrived.
 *
 * @param endpoint the endpoint
 * @param incarnation number that changes when the endpoint's process restarts
 * @param runningRequests number of requests being processed
 * @param queuedRequests number of requests accepted and waiting
 * @param queuedPromptTokens number of prompt tokens accepted and not yet prefilled
 * @param usedMemoryTokens KV cache in use or held, in tokens
 * @param draining whether the endpoint refuses new work
 * @param loadedModels names of the loaded models and adapters, without commas
 * @param role the engine's role, an empty string when it reports none; null becomes empty
 * @param ageMillis age of the report when it arrived, in milliseconds
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
