package io.mulberrylift.core.configuration;

import java.util.List;

/**
 * Settings of a plain service.
 *
 * @param repeatablePaths path prefixes; calls that match one may run more than once, all
 * other calls run at most once
 */
public record ServiceSettings(List<String> repeatablePaths) {

	/**
	 * Creates the settings. A missing list becomes empty.
	 */
	public ServiceSettings {
		repeatablePaths = (repeatablePaths != null) ? List.copyOf(repeatablePaths) : List.of();
	}

	/**
	 * Returns whether a call to a path may run more than once.
	 * @param path the path below the service's name, without a leading slash
	 * @return true if the path starts with one of the prefixes
	 */
	public boolean isRepeatable(String path) {
		return this.repeatablePaths.stream().anyMatch(path::startsWith);
	}

}
