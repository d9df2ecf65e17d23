package io.mulberrylift.core.scheduling;

import java.util.HashMap;
import java.util.Map;

import io.mulberrylift.core.configuration.RoutingSettings;
import io.mulberrylift.core.model.EndpointId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RoutingPolicy}.
 */
class RoutingPolicyTests {

	private static final long MINUTE_MILLIS = 60_000;

	private static SchedulingFixture fleet(RoutingPolicy policy) {
		return new SchedulingFixture(new RoutingSettings(policy.label(), 0, 0, 0, 0), 3);
	}

	@Test
	void labelsMatchConfiguration() {
		assertThat(RoutingPolicy.values()).extracting(RoutingPolicy::label)
			.containsExactlyElementsOf(RoutingSettings.POLICIES);
		for (RoutingPolicy policy : RoutingPolicy.values()) {
			assertThat(RoutingPolicy.ofLabel(policy.label())).contains(policy);
		}
		assertThat(RoutingPolicy.ofLabel("least-outstanding-tokens")).contains(RoutingPolicy.LEAST_OUTSTANDING_TOKENS);
		assertThat(RoutingPolicy.ofLabel("LEAST_REQUESTS")).isEmpty();
		assertThat(RoutingPolicy.ofLabel(null)).isEmpty();
	}

	@Test
	void roundRobinTakesEndpointsInTurn() {
		SchedulingFixture fleet = fleet(RoutingPolicy.ROUND_ROBIN);
		Map<EndpointId, Integer> counts = new HashMap<>();
		for (int i = 0; i < 9; i++) {
			counts.merge(fleet.assigned(fleet.request(2_000, MINUTE_MILLIS), 0), 1, Integer::sum);
		}
		assertThat(counts.values()).containsExactly(3, 3, 3);
	}

	@Test
	void leastRequestsComparesRequestsNotTokens() {
		SchedulingFixture fleet = fleet(RoutingPolicy.LEAST_REQUESTS);
		fleet.report(1, 0, 2, 0, 0);
		fleet.report(2, 0, 1, 90_000, 0);
		fleet.report(3, 0, 2, 0, 0);
		assertThat(fleet.assigned(fleet.request(2_000, MINUTE_MILLIS), 10)).isEqualTo(SchedulingFixture.engine(2));
	}

	@Test
	void leastOutstandingTokensComparesTokensNotRequests() {
		SchedulingFixture fleet = fleet(RoutingPolicy.LEAST_OUTSTANDING_TOKENS);
		fleet.report(1, 0, 1, 50_000, 0);
		fleet.report(2, 0, 9, 5_000, 0);
		fleet.report(3, 0, 1, 90_000, 0);
		assertThat(fleet.assigned(fleet.request(2_000, MINUTE_MILLIS), 10)).isEqualTo(SchedulingFixture.engine(2));
	}

	@Test
	void prefixAffinityUsesSameEndpointUntilItIsOverloaded() {
		SchedulingFixture fleet = fleet(RoutingPolicy.PREFIX_AFFINITY);
		EndpointId preferred = fleet.assigned(fleet.request(2_000, MINUTE_MILLIS, 7), 0);
		assertThat(fleet.assigned(fleet.request(2_000, MINUTE_MILLIS, 7), 0)).isEqualTo(preferred);
		int number = Integer.parseInt(preferred.value().substring("engine-".length()));
		fleet.report(number, 10, 20, 0, 0);
		assertThat(fleet.assigned(fleet.request(2_000, MINUTE_MILLIS, 7), 20)).isNotEqualTo(preferred);
	}

}
