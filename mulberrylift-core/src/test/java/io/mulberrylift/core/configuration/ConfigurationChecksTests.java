package io.mulberrylift.core.configuration;

import java.util.List;
import java.util.Map;

import io.mulberrylift.core.model.ZoneId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationChecks}.
 */
class ConfigurationChecksTests {

	private static final ProfileSettings PROFILE = new ProfileSettings(1, 1, 1, true, false, 0);

	@Test
	void everyFaultyValueOfPromiseAndRetryIsReported() {
		IdempotencySettings promise = new IdempotencySettings(1, -1, -1, -1, -1);
		RetrySettings retry = new RetrySettings(2, -1, 10, 5);
		assertThat(keys(List.of(new ZoneId("a")), promise, retry)).containsExactlyInAnyOrder("promise.windowMillis",
				"promise.maxStoredAnswerBytes", "promise.maxKeys", "promise.clockSkewMillis",
				"promise.listFreshnessMillis", "retry.budgetShare", "retry.maxAttempts", "retry.baseBackoffMillis");
	}

	@Test
	void evenNumberOfWitnessZonesIsReported() {
		assertThat(keys(List.of(new ZoneId("a"), new ZoneId("b")), null, null)).containsExactly("witnessZones");
	}

	@Test
	void defaultsAreValid() {
		assertThat(keys(List.of(new ZoneId("a")), null, null)).isEmpty();
	}

	private static List<String> keys(List<ZoneId> zones, IdempotencySettings promise, RetrySettings retry) {
		FleetConfiguration configuration = new FleetConfiguration(zones, null, null, Map.of("p", PROFILE),
				Map.of("w", new WorkspaceSettings(1, 0, null)), null, promise, retry, null);
		return ConfigurationChecks.problems(configuration).stream().map(ConfigurationProblem::key).toList();
	}

}
