package io.mulberrylift.testkit.experiment;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link Workload}.
 */
class WorkloadTests {

	private final List<Arrival> arrivals = new Workload(FleetShape.PRAIRIE, 1).generate(20, 6_000);

	@Test
	void rateAndShareOfLongPromptsMatchTheRequestedValues() {
		assertThat(this.arrivals.size() / 6_000.0).isCloseTo(20, within(0.5));
		long longPrompts = this.arrivals.stream().filter((arrival) -> arrival.promptTokens() > 100_000).count();
		assertThat((double) longPrompts / this.arrivals.size()).isCloseTo(0.02, within(0.002));
	}

	@Test
	void lengthsSpanThousandToMillion() {
		assertThat(this.arrivals)
			.allSatisfy((arrival) -> assertThat(arrival.promptTokens()).isBetween(1_000, 1_000_000));
		assertThat(this.arrivals).anySatisfy((arrival) -> assertThat(arrival.promptTokens()).isGreaterThan(800_000));
	}

}
