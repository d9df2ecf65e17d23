package io.mulberrylift.core.scheduling;

import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SlackOrder}.
 */
class SlackOrderTests {

	private final SchedulingFixture fixture = SchedulingFixture.slack(3, 34);

	private final FleetLoad fleet = new FleetLoad(this.fixture.fleet, new SplittableRandom(1));

	private final SlackOrder order = new SlackOrder(this.fleet);

	@Test
	void leastSlackGoesFirst() {
		PendingRequest late = this.fixture.request(1_000, 30_000);
		PendingRequest soon = this.fixture.request(1_000, 20_000);
		PendingRequest longer = this.fixture.request(90_000, 31_000);
		assertThat(this.order.sort(List.of(late, soon, longer))).containsExactly(longer, soon, late);
	}

	@Test
	void requestBecomesUrgentAfterQuarterOfItsTimeout() {
		PendingRequest request = this.fixture.request(1_000, 40_000);
		assertThat(this.order.isUrgent(request, 9_999)).isEqualTo(false);
		assertThat(this.order.isUrgent(request, 10_000)).isEqualTo(true);
	}

	@Test
	void reservationsLastUntilNextSort() {
		PendingRequest request = this.fixture.request(1_000, 40_000);
		List<EndpointLoad> candidates = this.fleet.candidates(request, 0);
		this.order.reserve(candidates, 2);
		this.order.removeReserved(candidates);
		assertThat(candidates).hasSize(1);
		this.order.sort(List.of());
		List<EndpointLoad> next = this.fleet.candidates(request, 0);
		this.order.removeReserved(next);
		assertThat(next).hasSize(3);
	}

}
