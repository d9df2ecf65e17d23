package io.mulberrylift.core.configuration;

/**
 * Settings of a workspace.
 *
 * @param weight share of the fleet under contention relative to other workspaces
 * @param maxTokensPerSecond limit of prompt and output tokens per second in the entire
 * fleet, 0 for none
 * @param credentialSha256 lower-case hex SHA-256 of the caller credential, empty for none
 */
public record WorkspaceSettings(double weight, long maxTokensPerSecond, String credentialSha256) {

	/**
	 * Creates the settings. Absent values, null or a weight of 0, get their defaults.
	 */
	public WorkspaceSettings {
		weight = (weight != 0) ? weight : 1;
		credentialSha256 = (credentialSha256 != null) ? credentialSha256 : "";
	}

}
