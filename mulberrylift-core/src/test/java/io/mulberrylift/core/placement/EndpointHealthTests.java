package io.mulberrylift.core.placement;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointHealthTests {

	private final EndpointHealth health = new EndpointHealth();

	@Test
	void avoidanceDoublesWithEachFaultUpToTheMaximum() {
		this.health.recordFault(0);
		assertThat(this.health.remainingAvoidanceMillis(0)).isEqualTo(EndpointHealth.INITIAL_AVOIDANCE_MILLIS);
		this.health.recordFault(0);
		assertThat(this.health.remainingAvoidanceMillis(0)).isEqualTo(2 * EndpointHealth.INITIAL_AVOIDANCE_MILLIS);
		for (int count = 0; count < 20; count++) {
			this.health.recordFault(0);
		}
		assertThat(this.health.remainingAvoidanceMillis(0)).isEqualTo(EndpointHealth.MAX_AVOIDANCE_MILLIS);
	}

	@Test
	void successEndsAvoidanceObservedLocallyOrReported() {
		this.health.recordFault(0);
		this.health.avoidOnReport(5000);
		assertThat(this.health.isAvoided(4999)).isTrue();
		this.health.recordSuccess();
		assertThat(this.health.isAvoided(1)).isFalse();
	}

	@Test
	void reportedAvoidanceIsNotPublished() {
		this.health.avoidOnReport(5000);
		assertThat(this.health.isAvoided(1)).isTrue();
		assertThat(this.health.remainingAvoidanceMillis(1)).isZero();
	}

	@Test
	void reportedLoadExpires() {
		assertThat(this.health.load(0, 100)).isEmpty();
		this.health.recordLoad(new ObservedLoad(1, 2, 3), 50);
		assertThat(this.health.load(150, 100)).contains(new ObservedLoad(1, 2, 3));
		assertThat(this.health.load(151, 100)).isEmpty();
	}

}
