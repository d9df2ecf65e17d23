package io.mulberrylift.core.scheduling;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LongPromptPool}.
 */
class LongPromptPoolTests {

	@ParameterizedTest
	@CsvSource({ "20,55,11", "15,55,8", "3,1,1", "3,100,3" })
	void containsConfiguredShareOfEngines(int engines, int percent, long expected) {
		SchedulingFixture fixture = SchedulingFixture.slack(engines, percent);
		LongPromptPool first = new LongPromptPool(fixture.fleet);
		LongPromptPool second = new LongPromptPool(SchedulingFixture.slack(engines, percent).fleet);
		assertThat(fixture.fleet.endpoints().stream().filter(first::contains).count()).isEqualTo(expected);
		assertThat(fixture.fleet.endpoints())
			.allSatisfy((endpoint) -> assertThat(second.contains(endpoint)).isEqualTo(first.contains(endpoint)));
	}

}
