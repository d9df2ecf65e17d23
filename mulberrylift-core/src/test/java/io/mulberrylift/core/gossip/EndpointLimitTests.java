package io.mulberrylift.core.gossip;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointLimitTests {

	@Test
	void limitsAreRoundedDownAndStayAsTheyAreWhenRoundedAgain() {
		assertThat(EndpointLimit.rounded(1.239)).isEqualTo(1.23);
		assertThat(EndpointLimit.rounded(0.004)).isZero();
		for (int units = 0; units < 10_000; units++) {
			double limit = (double) units / EndpointLimit.UNITS_PER_REQUEST;
			assertThat(EndpointLimit.rounded(limit)).isEqualTo(limit);
		}
	}

}
