package io.mulberrylift.core.configuration;

import java.util.List;
import java.util.Map;

import io.mulberrylift.core.model.ZoneId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RoutingSettings} and the checks of their values.
 */
class RoutingSettingsTests {

	private static List<String> problems(RoutingSettings routing) {
		FleetConfiguration configuration = new FleetConfiguration(List.of(new ZoneId("zone")), null, null,
				Map.of("short", new ProfileSettings(1, 1, 1, true, false, 0)),
				Map.of("yard", new WorkspaceSettings(1, 0, null)), routing, null, null, null);
		return ConfigurationChecks.problems(configuration).stream().map(ConfigurationProblem::key).toList();
	}

	@Test
	void defaultsAreValid() {
		assertThat(problems(RoutingSettings.DEFAULTS)).isEmpty();
	}

	@Test
	void unknownPolicyAndValuesOutOfRangeAreProblems() {
		assertThat(problems(new RoutingSettings("fastest", -1, -1, -1, 101))).containsExactly("routing.policy",
				"routing.crossZonePenaltyMillis", "routing.longPromptTokens", "routing.maxQueuedRequests",
				"routing.longEnginePercent");
	}

}
