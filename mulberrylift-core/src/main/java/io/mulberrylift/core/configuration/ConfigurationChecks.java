package io.mulberrylift.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checks the content of a configuration. The check is a pure function: equal content has
 * equal problems on every instance.
 */
public final class ConfigurationChecks {

	private static final int MAX_PRIORITY = 9;

	private static final int MAX_ATTEMPTS = 10;

	private static final long MAX_TIMEOUT_MILLIS = 3_600_000;

	private static final long MIN_WINDOW_MILLIS = 10_000;

	private static final long MAX_WINDOW_MILLIS = 86_400_000;

	private static final long MAX_CLOCK_SKEW_MILLIS = 10_000;

	private static final long MIN_LIST_FRESHNESS_MILLIS = 1_000;

	private static final long MAX_LIST_FRESHNESS_MILLIS = 600_000;

	private ConfigurationChecks() {
	}

	/**
	 * Returns all problems of a configuration.
	 * @param configuration the content, not null
	 * @return the problems, empty when the content is valid
	 */
	public static List<ConfigurationProblem> problems(FleetConfiguration configuration) {
		List<ConfigurationProblem> problems = new ArrayList<>();
		checkWitnessZones(configuration, problems);
		configuration.profiles().forEach((name, profile) -> checkProfile("profiles." + name, profile, problems));
		configuration.workspaces()
			.forEach((name, workspace) -> checkWorkspace("workspaces." + name, workspace, problems));
		configuration.models().forEach((name, model) -> checkModel("models." + name, model, problems));
		checkOrders(configuration.orders(), problems);
		checkPromise(configuration.promise(), problems);
		checkRetry(configuration.retry(), problems);
		checkRouting(configuration.routing(), problems);
		checkNotEmpty("profiles", configuration.profiles(), problems);
		checkNotEmpty("workspaces", configuration.workspaces(), problems);
		return List.copyOf(problems);
	}

	private static void checkWitnessZones(FleetConfiguration configuration, List<ConfigurationProblem> problems) {
		int count = configuration.witnessZones().size();
		boolean distinct = configuration.witnessZones().stream().distinct().count() == count;
		if (count % 2 == 0 || !distinct) {
			problems.add(new ConfigurationProblem("witnessZones", configuration.witnessZones().toString(),
					"an odd number of different zones", "Name one, three or five zones."));
		}
	}

	private static void checkNotEmpty(String key, Map<String, ?> values, List<ConfigurationProblem> problems) {
		if (values.isEmpty()) {
			problems.add(new ConfigurationProblem(key, "empty", "at least one entry", "Add an entry."));
		}
	}

	private static void checkProfile(String key, ProfileSettings profile, List<ConfigurationProblem> problems) {
		checkRange(key + ".priority", profile.priority(), 0, MAX_PRIORITY, problems);
		checkRange(key + ".maxTimeoutMillis", profile.maxTimeoutMillis(), 1, MAX_TIMEOUT_MILLIS, problems);
		checkRange(key + ".defaultTimeoutMillis", profile.defaultTimeoutMillis(), 1, profile.maxTimeoutMillis(),
				problems);
		if (profile.repeatable() && profile.keyRequired()) {
			problems.add(new ConfigurationProblem(key + ".keyRequired", "true", "false when repeatable is true",
					"Set repeatable or keyRequired to false."));
		}
	}

	private static void checkWorkspace(String key, WorkspaceSettings workspace, List<ConfigurationProblem> problems) {
		if (!(workspace.weight() > 0) || Double.isInfinite(workspace.weight())) {
			problems.add(new ConfigurationProblem(key + ".weight", String.valueOf(workspace.weight()),
					"a positive number", "Set a positive weight."));
		}
		checkRange(key + ".maxTokensPerSecond", workspace.maxTokensPerSecond(), 0, Long.MAX_VALUE, problems);
	}

	private static void checkModel(String key, ModelSettings model, List<ConfigurationProblem> problems) {
		checkRange(key + ".maxPromptTokens", model.maxPromptTokens(), 1, Integer.MAX_VALUE, problems);
		checkRange(key + ".maxOutputTokens", model.maxOutputTokens(), 1, Integer.MAX_VALUE, problems);
	}

	private static void checkOrders(OrderSettings orders, List<ConfigurationProblem> problems) {
		if (!(orders.maxLoadsPerMinute() > 0) || Double.isInfinite(orders.maxLoadsPerMinute())) {
			problems.add(new ConfigurationProblem("orders.maxLoadsPerMinute",
					String.valueOf(orders.maxLoadsPerMinute()), "a positive number", "Set a positive rate."));
		}
	}

	private static void checkRouting(RoutingSettings routing, List<ConfigurationProblem> problems) {
		if (!RoutingSettings.POLICIES.contains(routing.policy())) {
			String names = String.join(", ", RoutingSettings.POLICIES);
			problems.add(new ConfigurationProblem("routing.policy", routing.policy(), "one of " + names,
					"Name one of the policies."));
		}
		checkRange("routing.crossZonePenaltyMillis", routing.crossZonePenaltyMillis(), 0, MAX_TIMEOUT_MILLIS, problems);
		checkRange("routing.longPromptTokens", routing.longPromptTokens(), 1, Integer.MAX_VALUE, problems);
		checkRange("routing.maxQueuedRequests", routing.maxQueuedRequests(), 1, Integer.MAX_VALUE, problems);
		checkRange("routing.longEnginePercent", routing.longEnginePercent(), 1, 100, problems);
	}

	private static void checkPromise(IdempotencySettings promise, List<ConfigurationProblem> problems) {
		checkRange("promise.windowMillis", promise.windowMillis(), MIN_WINDOW_MILLIS, MAX_WINDOW_MILLIS, problems);
		checkRange("promise.maxStoredAnswerBytes", promise.maxStoredAnswerBytes(), 1, Integer.MAX_VALUE, problems);
		checkRange("promise.maxKeys", promise.maxKeys(), 1, Integer.MAX_VALUE, problems);
		checkRange("promise.clockSkewMillis", promise.clockSkewMillis(), 1, MAX_CLOCK_SKEW_MILLIS, problems);
		checkRange("promise.listFreshnessMillis", promise.listFreshnessMillis(), MIN_LIST_FRESHNESS_MILLIS,
				MAX_LIST_FRESHNESS_MILLIS, problems);
	}

	private static void checkRetry(RetrySettings retry, List<ConfigurationProblem> problems) {
		if (!(retry.budgetShare() > 0 && retry.budgetShare() <= 1)) {
			problems.add(new ConfigurationProblem("retry.budgetShare", String.valueOf(retry.budgetShare()),
					"above 0 and at most 1", "Set a share in this range."));
		}
		checkRange("retry.maxAttempts", retry.maxAttempts(), 1, MAX_ATTEMPTS, problems);
		checkRange("retry.maxBackoffMillis", retry.maxBackoffMillis(), 1, MAX_TIMEOUT_MILLIS, problems);
		checkRange("retry.baseBackoffMillis", retry.baseBackoffMillis(), 1, retry.maxBackoffMillis(), problems);
	}

	private static void checkRange(String key, long value, long min, long max, List<ConfigurationProblem> problems) {
		if (value < min || value > max) {
			problems.add(new ConfigurationProblem(key, String.valueOf(value), min + " to " + max,
					"Set a value in this range."));
		}
	}

}
