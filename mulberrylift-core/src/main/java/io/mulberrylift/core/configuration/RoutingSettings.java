package io.mulberrylift.core.configuration;

import java.util.List;

/**
 * Settings that control how endpoints are chosen.
 *
 * @param policy name of the routing policy
 * @param crossZonePenaltyMillis predicted gain from which an endpoint of another zone is
 * preferred, in milliseconds
 * @param longPromptTokens prompt length from which a prompt counts as long, in tokens
 * @param maxQueuedRequests maximum number of requests queued in one instance
 * @param longEnginePercent share of the engines that long prompts may occupy, in percent
 */
public record RoutingSettings(String policy, long crossZonePenaltyMillis, int longPromptTokens, int maxQueuedRequests,
		int longEnginePercent) {

	/** Names of the routing policies. */
	public static final List<String> POLICIES = List.of("random", "round-robin", "least-requests",
			"least-outstanding-tokens", "prefix-affinity", "slack");

	/** The default settings. */
	public static final RoutingSettings DEFAULTS = new RoutingSettings(null, 0, 0, 0, 0);

	/**
	 * Creates the settings. Absent values, null or 0, get their defaults.
	 */
	public RoutingSettings {
		policy = (policy != null) ? policy : "slack";
		crossZonePenaltyMillis = (crossZonePenaltyMillis != 0) ? crossZonePenaltyMillis : 10;
		longPromptTokens = (longPromptTokens != 0) ? longPromptTokens : 8_000;
		maxQueuedRequests = (maxQueuedRequests != 0) ? maxQueuedRequests : 2_000;
		longEnginePercent = (longEnginePercent != 0) ? longEnginePercent : 55;
	}

}
